/** Orders to an engine that change its models, adapters or role, protected by a fencing token and an expiry. */
import { z } from 'zod';

export const EngineRole = { Mixed: 'mixed', Prefill: 'prefill', Decode: 'decode' } as const;
export type EngineRole = (typeof EngineRole)[keyof typeof EngineRole];

const commandSchema = z.discriminatedUnion('kind', [
	z.strictObject({ kind: z.literal('load-model'), name: z.string(), version: z.string() }),
	z.strictObject({ kind: z.literal('load-adapter'), name: z.string(), version: z.string() }),
	z.strictObject({ kind: z.literal('unload-adapter'), name: z.string() }),
	z.strictObject({ kind: z.literal('set-role'), role: z.enum(['mixed', 'prefill', 'decode']) }),
]);

export const orderSchema = z.strictObject({
	/** Fencing token: increases each time the lock on sending orders is acquired. */
	fencing: z.number().int().nonnegative(),
	/** Expiry in epoch milliseconds, after which the order is refused. */
	expiresAtMs: z.number(),
	command: commandSchema,
});

export type EngineOrder = z.infer<typeof orderSchema>;

export interface OrderState {
	readonly fencing: number;
	readonly role: EngineRole;
	/** Versions of the loaded models, by name. */
	readonly models: Readonly<Record<string, string>>;
	/** Versions of the loaded adapters, by name. */
	readonly adapters: Readonly<Record<string, string>>;
	/** Orders that have taken effect, oldest first. */
	readonly applied: readonly EngineOrder[];
}

export type OrderRefusal =
	| { readonly kind: 'stale-fencing'; readonly fencing: number }
	| { readonly kind: 'expired'; readonly expiresAtMs: number };

/** Executes the orders of one engine and tracks the resulting state. */
export class OrderExecutor {
	private fencing = 0;
	private role: EngineRole = EngineRole.Mixed;
	private readonly models = new Map<string, string>();
	private readonly adapters = new Map<string, string>();
	private readonly applied: EngineOrder[] = [];

	/** If `checksFencing` is false, fencing tokens are recorded but not checked. */
	constructor(private readonly checksFencing: boolean) {}

	/** Applies the order, or returns the reason for refusing it. */
	public apply(order: EngineOrder, nowMs: number): OrderRefusal | undefined {
		if (nowMs > order.expiresAtMs) {
			return { kind: 'expired', expiresAtMs: order.expiresAtMs };
		}
		if (this.checksFencing && order.fencing < this.fencing) {
			return { kind: 'stale-fencing', fencing: this.fencing };
		}
		this.fencing = Math.max(this.fencing, order.fencing);
		this.execute(order);
		this.applied.push(order);
		return undefined;
	}

	public readState(): OrderState {
		return {
			fencing: this.fencing,
			role: this.role,
			models: Object.fromEntries(this.models),
			adapters: Object.fromEntries(this.adapters),
			applied: [...this.applied],
		};
	}

	private execute({ command }: EngineOrder): void {
		switch (command.kind) {
			case 'load-model':
				this.models.set(command.name, command.version);
				return;
			case 'load-adapter':
				this.adapters.set(command.name, command.version);
				return;
			case 'unload-adapter':
				this.adapters.delete(command.name);
				return;
			case 'set-role':
				this.role = command.role;
				return;
		}
	}
}
