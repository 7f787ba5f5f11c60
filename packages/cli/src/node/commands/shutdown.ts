/** Resolves at the first SIGINT or SIGTERM. */
export async function waitForShutdown(): Promise<NodeJS.Signals> {
	return new Promise((resolve) => {
		process.once('SIGINT', resolve);
		process.once('SIGTERM', resolve);
	});
}
