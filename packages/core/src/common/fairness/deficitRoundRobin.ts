/**
 * Weighted deficit round robin over flows. Each turn adds the weight of a flow to its deficit counter; the
 * flow is served while the counter covers the cost of its first item. A flow that becomes empty loses its
 * deficit.
 */

/** Lower weights are raised to this value, so that no flow starves. */
const MIN_WEIGHT = 0.001;

const NO_KEYS: ReadonlySet<string> = new Set();

interface Flow<T> {
	readonly key: string;
	weight: number;
	deficit: number;
	readonly items: { readonly item: T; readonly cost: number }[];
}

/** Order and deficits of the flows with items at one time. */
export interface RoundState<T> {
	readonly flows: readonly Flow<T>[];
	readonly deficits: readonly number[];
}

export class DeficitRoundRobin<T> {
	private readonly flows = new Map<string, Flow<T>>();
	/** Flows with items; the first one has its turn. */
	private activeFlows: Flow<T>[] = [];
	private count = 0;

	public get size(): number {
		return this.count;
	}

	/** Returns the number of items queued in one flow. */
	public countQueued(key: string): number {
		return this.flows.get(key)?.items.length ?? 0;
	}

	/** Lists the keys of the flows with items. */
	public listKeys(): string[] {
		return this.activeFlows.map((flow) => flow.key);
	}

	/** Appends an item to a flow and sets the weight of the flow. */
	public enqueue(key: string, weight: number, cost: number, item: T): void {
		let flow = this.flows.get(key);
		if (flow === undefined) {
			flow = { key, weight, deficit: 0, items: [] };
			this.flows.set(key, flow);
			this.activeFlows.push(flow);
		}
		flow.weight = Math.max(weight, MIN_WEIGHT);
		flow.items.push({ item, cost });
		this.count += 1;
	}

	/** Returns the next item without removing it; flows in `skipped` are passed over. */
	public peek(skipped: ReadonlySet<string> = NO_KEYS): T | undefined {
		return this.advance(skipped)?.items[0]?.item;
	}

	/** Removes and returns the next item; flows in `skipped` are passed over. */
	public take(skipped: ReadonlySet<string> = NO_KEYS): T | undefined {
		const flow = this.advance(skipped);
		const first = flow?.items.shift();
		if (flow === undefined || first === undefined) {
			return undefined;
		}
		flow.deficit -= first.cost;
		this.count -= 1;
		if (flow.items.length === 0) {
			this.removeFlow(flow);
		}
		return first.item;
	}

	/** Copies the order and the deficits, for `restoreRound`. */
	public copyRound(): RoundState<T> {
		return { flows: [...this.activeFlows], deficits: this.activeFlows.map(({ deficit }) => deficit) };
	}

	/** Undoes the changes of `peek` since `round` was copied; no item may have been added or removed meanwhile. */
	public restoreRound({ flows, deficits }: RoundState<T>): void {
		this.activeFlows = [...flows];
		flows.forEach((flow, index) => {
			flow.deficit = deficits[index] ?? 0;
		});
	}

	/** Removes and returns the items that `test` accepts; within a flow `test` sees them in queue order. */
	public removeWhere(test: (item: T) => boolean): T[] {
		const removed: T[] = [];
		for (const flow of [...this.activeFlows]) {
			const kept = flow.items.filter((entry) => {
				const isRemoved = test(entry.item);
				if (isRemoved) {
					removed.push(entry.item);
				}
				return !isRemoved;
			});
			this.count -= flow.items.length - kept.length;
			flow.items.splice(0, flow.items.length, ...kept);
			if (kept.length === 0) {
				this.removeFlow(flow);
			}
		}
		return removed;
	}

	/**
	 * Advances the round until a flow that is not skipped has enough deficit for its first item; returns that
	 * flow.
	 */
	private advance(skipped: ReadonlySet<string>): Flow<T> | undefined {
		if (this.activeFlows.every((flow) => skipped.has(flow.key))) {
			return undefined;
		}
		for (;;) {
			const flow = this.activeFlows[0];
			const cost = flow?.items[0]?.cost ?? 0;
			if (flow === undefined || (flow.deficit >= cost && !skipped.has(flow.key))) {
				return flow;
			}
			this.activeFlows.push(...this.activeFlows.splice(0, 1));
			const next = this.activeFlows[0];
			if (next !== undefined && !skipped.has(next.key)) {
				next.deficit += next.weight;
			}
		}
	}

	private removeFlow(flow: Flow<T>): void {
		this.flows.delete(flow.key);
		this.activeFlows = this.activeFlows.filter((other) => other !== flow);
	}
}
