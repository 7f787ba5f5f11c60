/** Fault injection for a stand-in: a test adds faults, and each request consumes those that apply to it. */

export type Fault =
	/** Stops sending after `afterTokens` tokens (0: before the first byte) but leaves the connection open. */
	| { readonly kind: 'stall'; readonly afterTokens?: number; readonly count?: number }
	/** Closes the connection in the middle of the answer. */
	| { readonly kind: 'cut'; readonly afterTokens?: number; readonly count?: number }
	/** Delays the answer by `delayMs`: an engine before it starts, an application after it has executed the call. */
	| { readonly kind: 'late'; readonly delayMs: number; readonly count?: number }
	/** Answers with the ID and the body of another request. */
	| { readonly kind: 'crossed'; readonly count?: number }
	/** Crashes when the request arrives, after `afterTokens` tokens, or after the request has taken effect. */
	| {
			readonly kind: 'crash';
			readonly at: 'before' | 'during' | 'after';
			readonly afterTokens?: number;
			readonly count?: number;
	  }
	/** Crashes on every request whose body contains `marker`. */
	| { readonly kind: 'crash-marker'; readonly marker: string; readonly count?: number }
	/** Refuses new connections for `durationMs`. */
	| { readonly kind: 'refuse'; readonly durationMs: number; readonly count?: number }
	/** Closes the connection of every request for the instance list. */
	| { readonly kind: 'unreachable'; readonly count?: number }
	/** Truncates the instance list to its first `keep` instances. */
	| { readonly kind: 'shrink'; readonly keep: number; readonly count?: number };

export type FaultKind = Fault['kind'];

export type FaultOf<K extends FaultKind> = Extract<Fault, { readonly kind: K }>;

interface ActiveFault {
	readonly fault: Fault;
	/** Number of further requests that the fault applies to. */
	remaining: number;
}

/** The active faults. A fault without a `count` stays active until it is cleared. */
export class FaultRegistry {
	private active: ActiveFault[] = [];

	public add(fault: Fault): void {
		this.active.push({ fault, remaining: fault.count ?? Number.POSITIVE_INFINITY });
	}

	public clear(kind?: FaultKind): void {
		this.active = kind === undefined ? [] : this.active.filter((item) => item.fault.kind !== kind);
	}

	public list(): readonly Fault[] {
		return this.active.map((item) => item.fault);
	}

	/** Returns the first fault of this kind that `matches` and decrements its count. */
	public consume<K extends FaultKind>(
		kind: K,
		matches: (fault: FaultOf<K>) => boolean = () => true,
	): FaultOf<K> | undefined {
		const found = this.active.find((item) => item.fault.kind === kind && matches(item.fault as FaultOf<K>));
		if (found === undefined) {
			return undefined;
		}
		found.remaining -= 1;
		this.active = this.active.filter((item) => item.remaining > 0);
		return found.fault as FaultOf<K>;
	}
}
