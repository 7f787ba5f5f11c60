/** Extrapolates the cost of each role to the planned fleet size from committed measurements. */

/** Fleet size that capacity is planned for. */
export const PLANNED_SIZE = {
	routers: 320,
	targets: 1_800,
	zones: 8,
	chats: 4_300_000,
	requestsPerSecond: 30_000,
	tokensPerSecond: 7_800_000,
	changesPerDay: 1_500,
} as const;

/** Upper bound on the key-value calls of one configuration watcher; enforced by a test of `ConfigurationWatcher`. */
const WATCHER_CALLS_PER_MINUTE = 40;
const WATCHERS_PER_ZONE = 2;

interface ControlPhase {
	readonly phase: string;
	readonly bytesPerSecondMean: number;
	readonly cpuShareMean: number;
	readonly heapMegabytesMean: number;
	readonly rssMegabytesMean: number;
	readonly loadAgeMsMean: number;
	readonly inForceMs: readonly number[];
}

/** The fields of the committed measurement files that the capacity table uses. */
export interface CapacityMeasurements {
	readonly control: {
		readonly sizes: readonly { readonly routers: number; readonly phases: readonly ControlPhase[] }[];
	};
	readonly path: {
		readonly result: {
			readonly saturation: { readonly callsPerCoreSecond: number; readonly tokensPerCoreSecond: number };
		};
	};
	readonly state: {
		readonly result: {
			readonly bytesPerMovedChat: number;
			readonly bytesPerTarget: number;
			readonly bytesPerRunningRequest: number;
		};
	};
	readonly replay: { readonly firstChoiceShare: number; readonly reservationsPerRequest: number };
}

export interface CapacityRow {
	readonly role: string;
	readonly figure: string;
	readonly slope: string;
	readonly atPlannedSize: string;
	readonly source: string;
	readonly mechanism: string;
}

/** A least-squares line. */
export interface Line {
	readonly slope: number;
	readonly intercept: number;
}

export function fitLine(points: readonly (readonly [x: number, y: number])[]): Line {
	const meanX = computeMean(points.map(([x]) => x));
	const meanY = computeMean(points.map(([, y]) => y));
	const covariance = computeMean(points.map(([x, y]) => (x - meanX) * (y - meanY)));
	const variance = computeMean(points.map(([x]) => (x - meanX) ** 2));
	const slope = variance === 0 ? 0 : covariance / variance;
	return { slope, intercept: meanY - slope * meanX };
}

/** Computes the capacity table, one row per figure. */
export function computeCapacity(measured: CapacityMeasurements): readonly CapacityRow[] {
	return [...computeDataRows(measured), ...computeControlRows(measured), ...computePlatformRows(measured)];
}

/** Renders rows as a Markdown table. */
export function renderCapacity(rows: readonly CapacityRow[]): string {
	const head = ['role', 'figure', 'measured slope', 'at the planned size', 'source', 'mechanism'];
	const lines = rows.map((row) => [
		row.role,
		row.figure,
		row.slope,
		row.atPlannedSize,
		row.source,
		row.mechanism,
	]);
	return [head, head.map(() => '---'), ...lines].map((cells) => `| ${cells.join(' | ')} |`).join('\n');
}

function computeDataRows({ path, state, replay }: CapacityMeasurements): CapacityRow[] {
	const { callsPerCoreSecond, tokensPerCoreSecond } = path.result.saturation;
	const requests = PLANNED_SIZE.requestsPerSecond / PLANNED_SIZE.routers;
	const tokens = PLANNED_SIZE.tokensPerSecond / PLANNED_SIZE.routers;
	const movedChats = (PLANNED_SIZE.chats / PLANNED_SIZE.routers) * (1 - replay.firstChoiceShare);
	const { bytesPerMovedChat, bytesPerTarget } = state.result;
	const role = 'router, data';
	return [
		{
			role,
			figure: 'processor, requests',
			slope: `${format(1000 / callsPerCoreSecond, 2)} ms a call`,
			atPlannedSize: `${format(requests, 1)}/s: ${formatShare(requests / callsPerCoreSecond)} of a core`,
			source: 'path.json',
			mechanism: 'one hop, pooled connections',
		},
		{
			role,
			figure: 'processor, tokens',
			slope: `${format(1_000_000 / tokensPerCoreSecond, 1)} µs a token`,
			atPlannedSize: `${format(tokens, 0)}/s: ${formatShare(tokens / tokensPerCoreSecond)} of a core`,
			source: 'path.json',
			mechanism: 'whole events relayed as they come',
		},
		{
			role,
			figure: 'memory, moved chats',
			slope: `${bytesPerMovedChat} B a chat`,
			atPlannedSize: `${format(movedChats, 0)} chats: ${formatMegabytes(movedChats * bytesPerMovedChat)}`,
			source: 'state.json, two-year-320-adaptive.json',
			mechanism: 'bounded memory; a chat on its first choice needs no entry',
		},
		{
			role,
			figure: 'memory, targets',
			slope: `${bytesPerTarget} B a target`,
			atPlannedSize: `${PLANNED_SIZE.targets} targets: ${formatMegabytes(PLANNED_SIZE.targets * bytesPerTarget)}`,
			source: 'state.json',
			mechanism: 'one table of hashes and loads a pool',
		},
	];
}

function computeControlRows({ control, replay }: CapacityMeasurements): CapacityRow[] {
	const changes = control.sizes.map(({ routers, phases }) => ({
		routers,
		phase: phases.find(({ phase }) => phase === 'changes'),
	}));
	const readPoints = (read: (phase: ControlPhase) => number, minRouters: number): [number, number][] =>
		changes.flatMap(({ routers, phase }) =>
			phase === undefined || routers < minRouters ? [] : [[routers, read(phase)] as [number, number]],
		);
	const makeRow = (
		figure: string,
		read: (phase: ControlPhase) => number,
		minRouters: number,
		formatValue: (value: number) => string,
		mechanism: string,
	): CapacityRow => {
		const line = fitLine(readPoints(read, minRouters));
		const value = line.intercept + line.slope * PLANNED_SIZE.routers;
		return {
			role: 'router, control',
			figure: `${figure}, line from ${minRouters} routers on`,
			slope: `${formatValue(line.slope)} a router`,
			atPlannedSize: `${formatValue(value)} (extrapolated)`,
			source: 'control.json, phase changes',
			mechanism,
		};
	};
	const reservations =
		(PLANNED_SIZE.requestsPerSecond / PLANNED_SIZE.routers) * replay.reservationsPerRequest;
	const adaptivePeriod = 'the period of reports grows with the fleet';
	const formatBytesPerSecond = (value: number): string => `${format(value, 1)} B/s`;
	const formatAge = (ms: number): string => `${format(ms / 1000, 2)} s`;
	return [
		makeRow('bytes', (phase) => phase.bytesPerSecondMean, 4, formatBytesPerSecond, adaptivePeriod),
		makeRow('bytes', (phase) => phase.bytesPerSecondMean, 16, formatBytesPerSecond, adaptivePeriod),
		makeRow('processor', (phase) => phase.cpuShareMean, 4, formatShare, 'frames carry many reports'),
		makeRow(
			'heap',
			(phase) => phase.heapMegabytesMean,
			4,
			formatMegabyteCount,
			'no state for each chat is gossiped',
		),
		makeRow(
			'resident memory',
			(phase) => phase.rssMegabytesMean,
			4,
			formatMegabyteCount,
			'most of it is Node.js itself',
		),
		makeRow('age of loads', (phase) => phase.loadAgeMsMean, 16, formatAge, adaptivePeriod),
		{
			role: 'owner of engines',
			figure: 'engines polled',
			slope: 'targets over routers',
			atPlannedSize: `${format(PLANNED_SIZE.targets / PLANNED_SIZE.routers, 1)} a router, one poll a second each`,
			source: 'arithmetic',
			mechanism: 'rendezvous hashing over the routers of the zone',
		},
		{
			role: 'owner of engines',
			figure: 'reservations',
			slope: `${format(replay.reservationsPerRequest, 3)} a request, a third of the planned rate`,
			atPlannedSize: `${format(reservations, 1)}/s a router (extrapolated)`,
			source: 'two-year-320-adaptive.json',
			mechanism: 'callers enter at the owner; questions are budgeted, the rest is thinned by hash',
		},
	];
}

function computePlatformRows({ control }: CapacityMeasurements): CapacityRow[] {
	const watchers = PLANNED_SIZE.zones * WATCHERS_PER_ZONE;
	const slowestInForceMs = Math.max(
		...control.sizes.flatMap(({ phases }) => phases.flatMap(({ inForceMs }) => inForceMs)),
	);
	const largestFleet = Math.max(...control.sizes.map(({ routers }) => routers));
	return [
		{
			role: 'watcher',
			figure: 'key-value calls',
			slope: `at most ${WATCHER_CALLS_PER_MINUTE} a minute and watcher`,
			atPlannedSize: `${watchers} watchers: at most ${format((watchers * WATCHER_CALLS_PER_MINUTE) / 60, 1)}/s`,
			source: 'test of ConfigurationWatcher with 4 and 40 routers',
			mechanism: `${WATCHERS_PER_ZONE} watchers a zone, chosen by rendezvous hashing`,
		},
		{
			role: 'configuration',
			figure: 'slowest change in force',
			slope: 'not fitted: 3 changes a size',
			atPlannedSize: `${slowestInForceMs} ms at up to ${largestFleet} routers; not measured beyond`,
			source: 'control.json',
			mechanism: 'versions flood, documents follow as compressed deltas',
		},
	];
}

function computeMean(values: readonly number[]): number {
	return values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length);
}

function format(value: number, digits: number): string {
	return value.toFixed(digits);
}

function formatShare(value: number): string {
	return `${format(100 * value, Math.abs(value) < 0.001 ? 4 : 1)} %`;
}

function formatMegabytes(bytes: number): string {
	return `${format(bytes / 1_000_000, 1)} MB`;
}

function formatMegabyteCount(megabytes: number): string {
	return `${format(megabytes, 2)} MB`;
}
