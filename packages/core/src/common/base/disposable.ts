/** Resources that are released explicitly. */

export interface Disposable {
	dispose(): void;
}

/** Wraps a function as a disposable that calls it at most once. */
export function toDisposable(release: () => unknown): Disposable {
	let isDisposed = false;
	return {
		dispose: () => {
			if (isDisposed) {
				return;
			}
			isDisposed = true;
			release();
		},
	};
}

/**
 * Disposes of the items added to it in reverse order. An item added after `dispose` is disposed of at once.
 */
export class DisposableStore implements Disposable {
	private readonly items: Disposable[] = [];
	private isDisposed = false;

	public add<T extends Disposable>(item: T): T {
		if (this.isDisposed) {
			item.dispose();
			return item;
		}
		this.items.push(item);
		return item;
	}

	public dispose(): void {
		this.isDisposed = true;
		for (const item of this.items.splice(0).reverse()) {
			item.dispose();
		}
	}
}
