/** Typed events. A listener is removed by disposing what `subscribe` returns. */
import type { Disposable } from './disposable.js';
import { toDisposable } from './disposable.js';

/** A source of values of type `T`. Call it with a listener to subscribe. */
export type Event<T> = (listener: (value: T) => void) => Disposable;

/** Holds the listeners of one event and calls them. */
export class Emitter<T> implements Disposable {
	private readonly listeners = new Set<(value: T) => void>();

	/** The event that listeners subscribe to. */
	public readonly event: Event<T> = (listener) => {
		this.listeners.add(listener);
		return toDisposable(() => this.listeners.delete(listener));
	};

	/** Calls every listener with `value`, in the order of subscription. */
	public fire(value: T): void {
		for (const listener of [...this.listeners]) {
			listener(value);
		}
	}

	public dispose(): void {
		this.listeners.clear();
	}
}
