/** Preloaded into every process that the harness starts: exits when the IPC channel to the harness closes. */

const EXIT_ORPHANED = 3;

process.once('disconnect', () => {
	process.exit(EXIT_ORPHANED);
});
// The IPC channel alone must not keep the event loop alive.
process.channel?.unref();

export {};
