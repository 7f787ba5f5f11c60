/** The sends beyond the first that this instance may make, for each service apart. */
import type { RetryWindowSettings } from './retryWindow.js';
import { RetryWindow } from './retryWindow.js';

export class RetryAllowance {
	private readonly windows = new Map<string, RetryWindow>();

	constructor(private readonly settings: RetryWindowSettings) {}

	/** Notes the first send of a request. */
	public noteRequest(service: string, nowMs: number): void {
		this.getWindow(service).noteRequest(nowMs);
	}

	/**
	 * Takes one send beyond the first; false if the allowance is spent.
	 * @param instances instances that share it
	 */
	public take(service: string, nowMs: number, instances: number): boolean {
		return this.getWindow(service).take(nowMs, instances);
	}

	private getWindow(service: string): RetryWindow {
		let window = this.windows.get(service);
		if (window === undefined) {
			window = new RetryWindow(this.settings);
			this.windows.set(service, window);
		}
		return window;
	}
}
