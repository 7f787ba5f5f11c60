/** A delay that an abort signal can end early. */

/** Resolves after `delayMs`, or as soon as `signal` is aborted. */
export function sleep(delayMs: number, signal?: AbortSignal): Promise<void> {
	return new Promise((resolve) => {
		if (signal?.aborted) {
			resolve();
			return;
		}
		const finish = (): void => {
			clearTimeout(timer);
			signal?.removeEventListener('abort', finish);
			resolve();
		};
		const timer = setTimeout(finish, delayMs);
		signal?.addEventListener('abort', finish, { once: true });
	});
}
