/** Reads a gateway's answer of where a request would go, and prints it for operators. */
import { z } from 'zod';

const DECISION = z.discriminatedUnion('kind', [
	z.object({
		kind: z.literal('sent'),
		target: z.string(),
		reason: z.string(),
		cachedTokens: z.number(),
		cacheSource: z.string().optional(),
	}),
	z.object({ kind: z.literal('waiting'), maxWaitMs: z.number() }),
	z.object({
		kind: z.literal('refused'),
		reason: z.string(),
		detail: z.string(),
		returnDelayMs: z.number().optional(),
	}),
]);

const CANDIDATE = z.object({
	target: z.string(),
	zone: z.string(),
	version: z.string(),
	slots: z.number(),
	load: z.number(),
	deviation: z.number(),
	reportAgeMs: z.number().optional(),
	slowdown: z.number(),
	timeToHeadMs: z.number().optional(),
	cachedTokens: z.number(),
	verdict: z.string(),
	detail: z.string(),
});

const CAPACITY = z.object({
	isShort: z.boolean(),
	concurrency: z.number(),
	ownRequests: z.number(),
	otherRequests: z.number(),
	waiting: z.number(),
	limit: z.number().optional(),
	customerRequests: z.number(),
	customerRequestsOfFleet: z.number(),
	isWithinShare: z.boolean(),
	customerShare: z.number().optional(),
});

const WHERE_ANSWER = z.object({
	route: z.string(),
	customer: z.string().optional(),
	service: z.string(),
	decision: DECISION,
	capacity: CAPACITY.optional(),
	candidates: z.array(CANDIDATE),
	omittedCandidates: z.number(),
	beliefs: z.object({
		// No number before the store has confirmed a list.
		targetsAgeMs: z.number().nullable(),
		peers: z.number(),
		peersAgeMs: z.number(),
		oldestPeerAgeMs: z.number(),
		configurationVersion: z.number(),
		configurationAgeMs: z.number(),
	}),
});

export type WhereAnswer = z.infer<typeof WHERE_ANSWER>;
type Candidate = z.infer<typeof CANDIDATE>;

/** Parses an answer; undefined if it is none of a gateway that this command knows. */
export function parseWhereAnswer(value: unknown): WhereAnswer | undefined {
	const { data } = WHERE_ANSWER.safeParse(value);
	return data;
}

export function formatWhereAnswer(answer: WhereAnswer): string {
	const { beliefs, candidates, capacity, customer, omittedCandidates, route, service } = answer;
	const caller = customer === undefined ? '' : ` of customer ${customer}`;
	const lines = [
		`A request of route ${route}${caller} to service ${service} would be ${formatDecision(answer)}`,
		'',
	];
	lines.push(
		...formatTable([HEADINGS, ...candidates.map((candidate) => formatCandidate(candidate, answer))]),
	);
	if (omittedCandidates > 0) {
		lines.push(`(${omittedCandidates} more targets are not shown)`);
	}
	if (candidates.length === 0) {
		lines.push('(the service has no targets)');
	}
	lines.push('', ...formatCapacity(capacity, customer), 'What this relies on:');
	lines.push(
		`  list of targets      ${beliefs.targetsAgeMs === null ? 'never confirmed by the store' : `confirmed ${formatAge(beliefs.targetsAgeMs)} ago`}`,
		`  states of peers      ${beliefs.peers === 0 ? 'no peer is heard' : `${beliefs.peers} peers, on average ${formatAge(beliefs.peersAgeMs)} old, the oldest ${formatAge(beliefs.oldestPeerAgeMs)}`}`,
		`  configuration        version ${beliefs.configurationVersion}, adopted ${formatAge(beliefs.configurationAgeMs)} ago`,
	);
	return lines.join('\n');
}

/** The gateway's reasons for a choice, in words. */
const REASONS: Readonly<Record<string, string>> = {
	cached: 'it has the most of the prompt cached, or the hash of the prefix selects it',
	overflow: 'targets with more of the prompt cached are at their load limits',
	leastLoaded: 'it has the lowest cost by load, speed and zone',
	lastResort: 'no healthy target is left, and this one may have recovered',
	relay: 'an instance, since this one reaches no target itself',
};

const HEADINGS = ['target', 'zone', 'load', 'figure from', 'speed', 'cached', 'why'];

function formatDecision({ decision }: WhereAnswer): string {
	switch (decision.kind) {
		case 'sent': {
			const source = decision.cacheSource === undefined ? '' : `, which fetches from ${decision.cacheSource}`;
			const reason = REASONS[decision.reason] ?? decision.reason;
			return `SENT to ${decision.target}: ${reason} (${decision.cachedTokens} tokens cached${source}).`;
		}
		case 'waiting':
			return `WAITING here for up to ${Math.round(decision.maxWaitMs)} ms until the service has room.`;
		case 'refused': {
			const { detail, reason, returnDelayMs } = decision;
			const delay = returnDelayMs === undefined ? '' : ` Retry-After ${(returnDelayMs / 1000).toFixed(2)} s.`;
			return `REFUSED (${reason}): ${detail}.${delay}`;
		}
	}
}

/** Verdicts that are no reason for which a target is passed over. */
const VERDICTS: Readonly<Record<string, string>> = { chosen: 'CHOSEN' };

function formatCandidate(candidate: Candidate, { beliefs, decision }: WhereAnswer): readonly string[] {
	const { load, deviation, slots, reportAgeMs, slowdown, timeToHeadMs, verdict, detail } = candidate;
	const spread = deviation === 0 ? '' : ` ± ${deviation.toFixed(1)}`;
	const gossip = beliefs.peers === 0 ? 'own requests' : `own and peers, ${formatAge(beliefs.peersAgeMs)} old`;
	const head = timeToHeadMs === undefined ? '' : `, head ${Math.round(timeToHeadMs)} ms`;
	const isSent = verdict !== 'chosen' || decision.kind === 'sent';
	return [
		candidate.target,
		candidate.zone,
		`${load.toFixed(1)}${spread} of ${slots}`,
		reportAgeMs === undefined ? gossip : `report, ${formatAge(reportAgeMs)} old`,
		`${slowdown === 1 ? 'usual' : `work takes x${slowdown.toFixed(2)}`}${head}`,
		String(candidate.cachedTokens),
		isSent
			? `${VERDICTS[verdict] ?? 'passed over'}: ${detail}`
			: 'would be chosen if the request were sent now',
	];
}

function formatCapacity(capacity: WhereAnswer['capacity'], customer: string | undefined): readonly string[] {
	if (capacity === undefined) {
		return [];
	}
	const { concurrency, limit, otherRequests, ownRequests, waiting } = capacity;
	const use = `${ownRequests} requests of this instance and ${otherRequests.toFixed(1)} of others on ${concurrency} slots, ${waiting} waiting here`;
	if (!capacity.isShort) {
		return [`Capacity is not short: ${use}.`, ''];
	}
	const size =
		capacity.customerShare === undefined ? '' : ` of ${capacity.customerShare.toFixed(1)} requests`;
	const share = `${capacity.isWithinShare ? 'within' : 'ABOVE'} its share${size}`;
	return [
		`Capacity is SHORT: ${use}; this instance may have ${(limit ?? 0).toFixed(1)}.`,
		`Customer ${customer ?? '(none)'} is ${share}: ${capacity.customerRequests} requests here, ${capacity.customerRequestsOfFleet} in the fleet.`,
		'',
	];
}

function formatAge(ageMs: number): string {
	return ageMs < 1000 ? `${Math.round(ageMs)} ms` : `${(ageMs / 1000).toFixed(1)} s`;
}

function formatTable(rows: readonly (readonly string[])[]): readonly string[] {
	const widths = HEADINGS.map((_, column) => Math.max(...rows.map((row) => row[column]?.length ?? 0)));
	return rows.map((row) =>
		row
			.map((cell, column) => cell.padEnd(widths[column] ?? 0))
			.join('  ')
			.trimEnd(),
	);
}
