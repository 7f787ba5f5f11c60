/** Runs one order holder for each pool that has placements. */
import type { Disposable, ModelPlacement, RouterView, TargetInstance } from '@papayawell/core';
import { isRankedFirst } from '@papayawell/core';
import type { OrderHolderOptions, OrderHolderStatus } from './orderHolder.js';
import { OrderHolder } from './orderHolder.js';

/** Routers that may acquire the lock of a pool: the holder and a standby. */
const CANDIDATES_PER_POOL = 2;

export interface OrderServiceOptions extends Pick<
	OrderHolderOptions,
	'keyValue' | 'prefix' | 'client' | 'timings' | 'weightLoads' | 'onDidDispatchOrder' | 'log'
> {
	readonly instance: string;
	readonly readView: () => RouterView;
	/** Returns the model placements of the active configuration. */
	readonly readPlacements: () => readonly ModelPlacement[];
	/** Returns the serving engines of a pool. */
	readonly listTargets: (pool: string) => readonly TargetInstance[];
}

export class OrderService implements Disposable {
	private readonly holders = new Map<string, OrderHolder>();

	constructor(private readonly options: OrderServiceOptions) {}

	/** Starts and stops holders to match the pools in the configuration; to be called after each configuration change. */
	public update(): void {
		const pools = new Set(this.options.readPlacements().map(({ pool }) => pool));
		for (const [pool, holder] of this.holders) {
			if (!pools.has(pool)) {
				holder.dispose();
				this.holders.delete(pool);
			}
		}
		for (const pool of pools) {
			if (!this.holders.has(pool)) {
				this.holders.set(pool, this.startHolder(pool));
			}
		}
	}

	/** Status of all holders, for the state dump. */
	public readStatus(): readonly OrderHolderStatus[] {
		return [...this.holders.values()].map((holder) => holder.readStatus());
	}

	public dispose(): void {
		for (const holder of this.holders.values()) {
			holder.dispose();
		}
		this.holders.clear();
	}

	private startHolder(pool: string): OrderHolder {
		const { instance, readView, readPlacements, listTargets } = this.options;
		const holder = new OrderHolder({
			...this.options,
			pool,
			isCandidate: () => isRankedFirst(readView(), instance, `orders/${pool}`, CANDIDATES_PER_POOL),
			readPlacements: () => readPlacements().filter((placement) => placement.pool === pool),
			readTargets: () => listTargets(pool),
		});
		holder.start();
		return holder;
	}
}
