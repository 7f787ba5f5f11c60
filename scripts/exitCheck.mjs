/**
 * Mocha root hooks: ends a test run whose process does not exit after the last test, and prints what keeps it alive.
 * The known case of KNOWN-RED.txt (a gRPC channel that stays CONNECTING) is printed and passed over; anything else
 * fails the run.
 */

/** Interval with which a gRPC channel keeps the process alive while a call waits for a connection. */
const GRPC_CALL_REF_INTERVAL_MS = 2_147_483_647;
/** Time after the last test within which the process must exit. */
const EXIT_TIMEOUT_MS = 10_000;
/** Standard output and error are listed as resources, but do not keep the process alive. */
const STANDARD_STREAM_RESOURCES = new Set(['PipeWrap', 'TTYWrap']);

const grpcIntervals = new Set();
const setInterval = globalThis.setInterval;
globalThis.setInterval = (callback, delayMs, ...args) => {
	const interval = setInterval(callback, delayMs, ...args);
	if (delayMs === GRPC_CALL_REF_INTERVAL_MS) {
		grpcIntervals.add(interval);
	}
	return interval;
};

function checkExit() {
	const resources = process.getActiveResourcesInfo().filter((name) => !STANDARD_STREAM_RESOURCES.has(name));
	const pendingChannels = [...grpcIntervals].filter(
		(interval) => !interval._destroyed && interval.hasRef(),
	).length;
	const isKnown =
		pendingChannels > 0 &&
		resources.every((name) => name === 'Timeout') &&
		resources.length === pendingChannels;
	if (isKnown) {
		console.log(
			`known red, see KNOWN-RED.txt: ${pendingChannels} gRPC channels stay CONNECTING and keep the process alive`,
		);
	} else {
		console.error(`the test process did not exit within ${EXIT_TIMEOUT_MS} ms: ${resources.join(', ')}`);
		process.on('exit', () => {
			process.exitCode = 1;
		});
	}
	process.exit();
}

export const mochaHooks = {
	afterAll() {
		setTimeout(checkExit, EXIT_TIMEOUT_MS).unref();
	},
};
