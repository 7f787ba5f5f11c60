/**
 * The load of prompts that crash engines: they come at any instance, with a part in common, among sound prompts that
 * share all their other parts. Instances may be killed, or cut off from the others or frozen, meanwhile.
 */
import { expect } from 'chai';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { GOSSIP_FAN_OUT, GOSSIP_INTERVAL_MS } from '../../src/common/gossipInterval.js';
import { PromptCrashTracker } from '../../src/common/promptCrashTracker.js';

interface Load {
	readonly instances: number;
	readonly engines: number;
	readonly soundPerSecond: number;
	/** Callers, each with a first part of its own. */
	readonly callers: number;
	readonly crashingPerSecond: number;
	/** Time after the fifth crash from which the bound holds. */
	readonly stableMs: number;
	/** Share of the instances that lose all they know, one after the other. */
	readonly restartedShare: number;
	/** Time after which another instance is cut off from its peers for `CUT_MS`; infinity for none. */
	readonly cutIntervalMs: number;
	readonly durationMs: number;
	readonly seeds: readonly number[];
}

interface Run {
	readonly engine: number;
	readonly instance: number;
	readonly parts: readonly string[];
	readonly isCrashing: boolean;
	readonly sentAtMs: number;
	readonly firstEventAtMs: number;
}

/** Requests with the part that may reach engines after the bound, and the crash from which it counts. */
const MAX_FURTHER_REQUESTS = 3;
const BOUND_AFTER_CRASHES = 5;
/** Least share of the sound prompts that has to reach an engine. */
const MIN_SOUND_SHARE = 0.95;
/** Least share of the sound prompts of the caller who sends the crashing ones. */
const MIN_CALLER_SHARE = 0.5;
/** The crashing prompts come from then on. */
const CRASHING_FROM_MS = 10_000;
const TICK_MS = 10;
const ENGINE_RESTART_MS = 4000;
const PREFILL_MS = 150;
const ANSWER_MS = 600;
const OUTLIVED_AFTER_MS = 100;
const CUT_MS = 4000;
const CHATS = 400;
const TRANSIT_MS = 2;

interface ModelResult {
	/** Prompts with the part that reached engines after the bound. */
	readonly further: number;
	/** Share of the sound prompts that reached an engine. */
	readonly soundShare: number;
	/** The same, for the caller who sends the crashing prompts. */
	readonly callerShare: number;
}

function runModel(load: Load, seed: number): ModelResult {
	const generator = xoroshiro128plus(seed);
	const random = (): number => uniformFloat64(generator);
	const pickIndex = (count: number): number => Math.floor(random() * count);
	const trackers = Array.from({ length: load.instances }, () => new PromptCrashTracker(() => undefined));
	const nextPeers = trackers.map((_, index) => index + 1);
	const engineStarts = Array.from({ length: load.engines }, () => 0);
	const engineReadyAtMs = Array.from({ length: load.engines }, () => 0);
	let runs: Run[] = [];
	let cutInstance = -1;
	let cutUntilMs = -Infinity;
	let nextCutMs = load.cutIntervalMs;
	let crashes = 0;
	let boundFromMs = Infinity;
	let further = 0;
	let sound = 0;
	let soundSent = 0;
	let callerSound = 0;
	let callerSoundSent = 0;

	const send = (isCrashing: boolean, nowMs: number): void => {
		const instance = pickIndex(load.instances);
		const middle = isCrashing ? 'bad' : `chat-${pickIndex(CHATS)}`;
		const root = isCrashing ? 0 : pickIndex(load.callers);
		const parts = [`root-${root}`, middle];
		const risk = trackers[instance]?.admit(parts, nowMs, load.instances, random());
		const isCallerSound = !isCrashing && root === 0;
		sound += isCrashing ? 0 : 1;
		callerSound += isCallerSound ? 1 : 0;
		if (risk?.kind === 'blocked') {
			return;
		}
		soundSent += isCrashing ? 0 : 1;
		callerSoundSent += isCallerSound ? 1 : 0;
		const isConnected = instance !== cutInstance || nowMs > cutUntilMs + load.stableMs;
		further += isCrashing && isConnected && nowMs > boundFromMs ? 1 : 0;
		const up = engineReadyAtMs.flatMap((readyAtMs, engine) => (readyAtMs <= nowMs ? [engine] : []));
		const engine = up[pickIndex(up.length)];
		if (engine !== undefined) {
			const firstEventAtMs = nowMs + PREFILL_MS * (0.5 + random());
			runs.push({ engine, instance, parts, isCrashing, sentAtMs: nowMs, firstEventAtMs });
		}
	};

	const crashEngine = (engine: number, nowMs: number): void => {
		for (const run of runs) {
			if (run.engine === engine && nowMs - run.firstEventAtMs <= OUTLIVED_AFTER_MS) {
				trackers[run.instance]?.recordDeath(run.parts, {
					target: `e-${engine}@${engineStarts[engine] ?? 0}`,
					sentAtMs: run.sentAtMs,
					diedAtMs: nowMs,
				});
			}
		}
		runs = runs.filter((run) => run.engine !== engine);
		engineStarts[engine] = nowMs;
		engineReadyAtMs[engine] = nowMs + ENGINE_RESTART_MS;
		crashes += 1;
		if (crashes === BOUND_AFTER_CRASHES) {
			boundFromMs = nowMs + load.stableMs;
		}
	};

	const gossip = (nowMs: number): void => {
		const isCut = (index: number): boolean => index === cutInstance && nowMs < cutUntilMs;
		for (const [index, tracker] of trackers.entries()) {
			const deaths = tracker.listDeaths(nowMs);
			const answers = tracker.listAnswers(nowMs);
			for (let step = 0; step < Math.min(GOSSIP_FAN_OUT, load.instances - 1); step++) {
				const peer = ((nextPeers[index] ?? 0) + step) % load.instances;
				if (!isCut(index) && !isCut(peer)) {
					trackers[peer]?.adopt(deaths, answers, nowMs + TRANSIT_MS);
				}
			}
			nextPeers[index] = ((nextPeers[index] ?? 0) + GOSSIP_FAN_OUT) % load.instances;
		}
	};

	const restartIntervalMs = load.durationMs / Math.max(1, load.instances * load.restartedShare);
	let nextRestartMs = load.restartedShare > 0 ? restartIntervalMs : Infinity;
	for (let nowMs = 0; nowMs < load.durationMs; nowMs += TICK_MS) {
		for (const [rate, isCrashing] of [
			[load.soundPerSecond, false],
			[nowMs < CRASHING_FROM_MS ? 0 : load.crashingPerSecond, true],
		] as const) {
			const expected = (rate * TICK_MS) / 1000;
			const count = Math.floor(expected) + (random() < expected % 1 ? 1 : 0);
			for (let index = 0; index < count; index++) {
				send(isCrashing, nowMs);
			}
		}
		for (const run of runs.filter(
			({ isCrashing, firstEventAtMs }) => isCrashing && firstEventAtMs <= nowMs,
		)) {
			if (runs.includes(run)) {
				crashEngine(run.engine, nowMs);
			}
		}
		for (const run of runs) {
			const outlivedAtMs = run.firstEventAtMs + OUTLIVED_AFTER_MS;
			if (outlivedAtMs <= nowMs && outlivedAtMs > nowMs - TICK_MS) {
				trackers[run.instance]?.recordAnswer(run.parts, run.firstEventAtMs);
			}
		}
		runs = runs.filter(({ firstEventAtMs }) => firstEventAtMs + ANSWER_MS > nowMs);
		if (nowMs % GOSSIP_INTERVAL_MS === 0) {
			gossip(nowMs);
		}
		if (nowMs >= nextCutMs) {
			nextCutMs += load.cutIntervalMs;
			cutInstance = pickIndex(load.instances);
			cutUntilMs = nowMs + CUT_MS;
		}
		if (nowMs >= nextRestartMs) {
			nextRestartMs += restartIntervalMs;
			const index = pickIndex(load.instances);
			const started = new PromptCrashTracker(() => undefined);
			const peer = trackers[(index + 1) % load.instances];
			if (peer !== undefined) {
				// An instance that starts serves after its peers have answered it.
				started.adopt(peer.listDeaths(nowMs), peer.listAnswers(nowMs), nowMs + TRANSIT_MS);
			}
			trackers[index] = started;
		}
	}
	return { further, soundShare: soundSent / sound, callerShare: callerSoundSent / callerSound };
}

const LOADS: Readonly<Record<string, Load>> = {
	'4 instances': {
		instances: 4,
		engines: 6,
		soundPerSecond: 30,
		callers: 5,
		crashingPerSecond: 0.7,
		stableMs: 3000,
		restartedShare: 0,
		cutIntervalMs: Infinity,
		durationMs: 60_000,
		seeds: [1, 2, 3],
	},
	'4 instances, restarted one after the other': {
		instances: 4,
		engines: 6,
		soundPerSecond: 30,
		callers: 5,
		crashingPerSecond: 1.5,
		stableMs: 3000,
		restartedShare: 3,
		cutIntervalMs: Infinity,
		durationMs: 60_000,
		seeds: [1, 2, 3],
	},
	'4 instances, callers with few prompts': {
		instances: 4,
		engines: 6,
		soundPerSecond: 6,
		callers: 20,
		crashingPerSecond: 1,
		stableMs: 3000,
		restartedShare: 0,
		cutIntervalMs: Infinity,
		durationMs: 50_000,
		seeds: [1, 2, 3],
	},
	'4 instances, cut off one after the other': {
		instances: 4,
		engines: 6,
		soundPerSecond: 30,
		callers: 5,
		crashingPerSecond: 1.5,
		stableMs: 3000,
		restartedShare: 0,
		cutIntervalMs: 6000,
		durationMs: 60_000,
		seeds: [1, 2, 3],
	},
	'28 instances': {
		instances: 28,
		engines: 63,
		soundPerSecond: 370,
		callers: 5,
		crashingPerSecond: 6,
		stableMs: 4000,
		restartedShare: 0.5,
		cutIntervalMs: 7000,
		durationMs: 60_000,
		seeds: [1, 2],
	},
	'79 instances': {
		instances: 79,
		engines: 109,
		soundPerSecond: 400,
		callers: 5,
		crashingPerSecond: 10,
		stableMs: 5000,
		restartedShare: 0.5,
		cutIntervalMs: 7000,
		durationMs: 60_000,
		seeds: [1, 2],
	},
	'323 instances': {
		instances: 323,
		engines: 440,
		soundPerSecond: 1600,
		callers: 5,
		crashingPerSecond: 20,
		stableMs: 5000,
		restartedShare: 0.1,
		cutIntervalMs: 7000,
		durationMs: 24_000,
		seeds: [1],
	},
};

describe('prompts that crash engines, come at any instance and share one part', () => {
	for (const [name, load] of Object.entries(LOADS)) {
		for (const seed of load.seeds) {
			it(`${name}: hardly any reaches an engine once five have crashed, sound ones do (seed ${seed})`, function () {
				this.timeout(60_000);
				const { further, soundShare, callerShare } = runModel(load, seed);
				expect(further).to.be.at.most(MAX_FURTHER_REQUESTS);
				expect(soundShare).to.be.at.least(MIN_SOUND_SHARE);
				expect(callerShare).to.be.at.least(MIN_CALLER_SHARE);
			});
		}
	}
});
