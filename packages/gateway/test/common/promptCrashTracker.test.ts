import { expect } from 'chai';
import type { BlockedPart } from '../../src/common/promptCrashTracker.js';
import { PromptCrashTracker } from '../../src/common/promptCrashTracker.js';

const NEVER = 1;
const ALWAYS = 0;

describe('PromptCrashTracker', () => {
	let blocked: BlockedPart[];
	let tracker: PromptCrashTracker;
	let targets: number;

	beforeEach(() => {
		blocked = [];
		targets = 0;
		tracker = makeTracker();
	});

	function makeTracker(): PromptCrashTracker {
		return new PromptCrashTracker((part) => blocked.push(part));
	}

	/** Records that a target died 100 ms after it had been sent a prompt. */
	function recordDeath(parts: readonly string[], diedAtMs: number, of = tracker): void {
		targets += 1;
		of.recordDeath(parts, { target: `t-${targets}`, sentAtMs: diedAtMs - 100, diedAtMs });
	}

	function recordDeaths(part: string, times: readonly number[]): void {
		for (const diedAtMs of times) {
			recordDeath([part], diedAtMs);
		}
	}

	it('blocks a part after three deaths in a row, and not its neighbours', () => {
		recordDeath(['root', 'bad'], 1000);
		expect(tracker.check(['root', 'bad'], 1100)).to.deep.equal({ kind: 'suspect', part: 'bad' });
		tracker.recordAnswer(['root', 'good'], 1100);
		recordDeath(['root', 'bad'], 2000);
		tracker.recordAnswer(['root', 'good'], 2100);
		recordDeath(['root', 'bad'], 3000);
		expect(tracker.check(['root', 'bad'], 3100)).to.deep.equal({ kind: 'blocked', part: 'bad' });
		expect(tracker.check(['root', 'good'], 3100)).to.deep.equal({ kind: 'suspect', part: 'root' });
		expect(blocked).to.deep.equal([{ part: 'bad', deaths: 3 }]);
	});

	it('counts targets that die together once', () => {
		for (let index = 0; index < 20; index++) {
			recordDeath(['popular'], 1000 + (index % 10));
		}
		expect(tracker.check(['popular'], 1100).kind).to.equal('suspect');
	});

	it('does not count a prompt that was already on its target when the target before died', () => {
		for (const diedAtMs of [1000, 1050, 1090]) {
			recordDeath(['popular'], diedAtMs);
		}
		expect(tracker.check(['popular'], 1200).kind).to.equal('suspect');
	});

	it('counts the death of one target once, whoever reports it', () => {
		for (let index = 0; index < 5; index++) {
			tracker.recordDeath(['part'], { target: 't', sentAtMs: 150 * index, diedAtMs: 150 * index + 100 });
		}
		expect(tracker.check(['part'], 6000).kind).to.equal('suspect');
	});

	it('counts a death once if a peer that was frozen reports it late, as if it were new', () => {
		const peer = makeTracker();
		recordDeath(['part'], 1000, peer);
		const reports = peer.listDeaths(1100);
		for (const nowMs of [1100, 4000, 9000]) {
			tracker.adopt(reports, [], nowMs);
		}
		expect(tracker.check(['part'], 9100).kind).to.equal('suspect');
	});

	it('a part that was answered before is blocked after the one that is to blame', () => {
		tracker.recordAnswer(['root'], 500);
		for (const diedAtMs of [1000, 2000, 3000, 4000]) {
			recordDeath(['root', 'bad'], diedAtMs);
		}
		expect(tracker.check(['root', 'bad'], 4100)).to.deep.equal({ kind: 'blocked', part: 'bad' });
		expect(tracker.check(['root', 'good'], 4100).kind).to.equal('suspect');
		recordDeath(['root'], 5000);
		expect(tracker.check(['root', 'good'], 5100)).to.deep.equal({ kind: 'blocked', part: 'root' });
	});

	it('learns from peers that a part was answered before', () => {
		const peer = makeTracker();
		peer.recordAnswer(['root'], 500);
		recordDeaths('root', [1000, 2000, 3000]);
		expect(tracker.check(['root'], 3100).kind).to.equal('blocked');
		peer.adopt(tracker.listDeaths(3100), [], 3100);
		tracker.adopt([], peer.listAnswers(3200), 3200);
		expect(tracker.check(['root'], 3200).kind).to.equal('suspect');
	});

	it('an answer that began after the deaths clears a part, one that began before does not', () => {
		recordDeaths('part', [1000, 2000, 3000]);
		tracker.recordAnswer(['part'], 2900);
		expect(tracker.check(['part'], 3100).kind).to.equal('suspect');
		tracker.recordAnswer(['part'], 3050);
		expect(tracker.check(['part'], 3100).kind).to.equal('none');
	});

	it('deaths far apart do not add up', () => {
		recordDeaths('part', [0, 70_000, 140_000]);
		expect(tracker.check(['part'], 140_100).kind).to.equal('suspect');
		expect(tracker.check(['part'], 201_000).kind).to.equal('none');
	});

	it('lets no prompt through before a block ends, then one for the whole fleet', () => {
		recordDeaths('bad', [1000, 2000, 3000]);
		expect(tracker.admit(['bad'], 32_000, 4, ALWAYS).kind).to.equal('blocked');
		expect(tracker.admit(['bad'], 33_100, 4, 0.3).kind).to.equal('blocked');
		expect(tracker.admit(['bad'], 33_100, 4, 0.2).kind).to.equal('suspect');
		expect(tracker.admit(['bad'], 33_200, 4, ALWAYS).kind).to.equal('blocked');
	});

	it('a trial that kills its target prolongs the block', () => {
		recordDeaths('bad', [1000, 2000, 3000]);
		expect(tracker.admit(['bad'], 34_000, 1, ALWAYS).kind).to.equal('suspect');
		recordDeath(['bad'], 34_200);
		expect(tracker.admit(['bad'], 34_200 + 119_000, 1, ALWAYS).kind).to.equal('blocked');
		expect(tracker.admit(['bad'], 34_200 + 121_000, 1, ALWAYS).kind).to.equal('suspect');
	});

	it('a trial that is answered ends the block here and at the peers', () => {
		const peer = makeTracker();
		recordDeaths('good', [1000, 2000, 3000]);
		peer.adopt(tracker.listDeaths(3100), tracker.listAnswers(3100), 3100);
		expect(peer.check(['good'], 3200).kind).to.equal('blocked');
		peer.recordAnswer(['good'], 3300);
		tracker.adopt(peer.listDeaths(3400), peer.listAnswers(3400), 3400);
		expect(tracker.check(['good'], 3400).kind).to.equal('none');
	});

	it('a peer that starts adopts a block, also from one that only heard of it', () => {
		const [second, third] = [makeTracker(), makeTracker()];
		recordDeaths('bad', [1000, 2000, 3000]);
		second.adopt(tracker.listDeaths(4000), tracker.listAnswers(4000), 4000);
		third.adopt(second.listDeaths(25_000), second.listAnswers(25_000), 25_000);
		expect(third.check(['bad'], 25_000).kind).to.equal('blocked');
	});

	it('deaths that several peers saw add up', () => {
		const peer = makeTracker();
		recordDeath(['bad'], 1000);
		recordDeath(['bad'], 2000, peer);
		tracker.adopt(peer.listDeaths(2100), [], 2102);
		recordDeath(['bad'], 3000);
		expect(tracker.check(['bad'], 3100).kind).to.equal('blocked');
	});

	it('keeps and gossips a bounded number of parts, blocked ones first', () => {
		recordDeaths('bad', [1000, 2000, 3000]);
		for (let index = 0; index < 3000; index++) {
			recordDeath([`part-${index}`], 4000 + index);
		}
		expect(tracker.check(['bad'], 7100).kind).to.equal('blocked');
		expect(tracker.check(['part-0'], 7100).kind).to.equal('none');
		const reports = tracker.listDeaths(7100);
		expect(reports.length).to.be.at.most(40);
		expect(reports.filter(([part]) => part === 'bad')).to.have.length(3);
		expect(tracker.admit(['part-2999'], 7100, 1, NEVER).kind).to.equal('suspect');
	});
});
