import { expect } from 'chai';
import { computeAllowance, computeShare } from '../../src/common/capacityShare.js';
import { ReturnSchedule } from '../../src/common/returnSchedule.js';
import type { AdmissionRequest } from '../../src/common/serviceAdmission.js';
import { ServiceAdmission } from '../../src/common/serviceAdmission.js';
import { estimateServiceCapacity } from '../../src/common/serviceCapacity.js';
import { makeEngines } from './fixtures.js';

const REQUEST: AdmissionRequest = {
	route: 'call',
	customer: 'a',
	priority: 0,
	objectiveMs: 144,
	remainingMs: 611,
};

/** Makes the admission of a single instance in front of `slots` slots. */
function makeAdmission(slots: number, leastQueue = 0): ServiceAdmission<string> {
	const admission = new ServiceAdmission<string>({
		random: () => 0.5,
		canWait: () => true,
		readFleet: () => ({ instances: 1, heard: 0, demands: [] }),
		readLoad: () => ({ concurrency: slots, otherRequests: 0, isStated: false, leastQueue }),
	});
	admission.offer('first', REQUEST, 0);
	admission.recordEnd('a');
	admission.times.recordEnd('call', 21, 0);
	return admission;
}

/** Offers requests until one is not sent; returns how many were. */
function fill(admission: ServiceAdmission<string>, request: AdmissionRequest): number {
	let sent = 0;
	while (sent < 1000 && admission.offer(`filler-${sent}`, request, 0).kind === 'send') {
		sent += 1;
	}
	return sent;
}

describe('ServiceAdmission', () => {
	it('sends the next request that waits when one has ended', () => {
		const admission = makeAdmission(6);
		fill(admission, REQUEST);
		expect(admission.waiting).to.equal(1);
		expect(admission.takeReady(5)).to.equal(undefined);
		admission.recordEnd('a');
		expect(admission.takeReady(6)).to.match(/^filler/);
		expect(admission.takeReady(6)).to.equal(undefined);
	});

	it('refuses a request when it has waited for half of its objective, not at its deadline', () => {
		const admission = makeAdmission(6);
		fill(admission, REQUEST);
		expect(admission.takeExpired(71)).to.deep.equal([]);
		const [refused] = admission.takeExpired(72);
		expect(refused?.returnDelayMs).to.be.within(50, (611 - 72) / 3);
		expect(admission.waiting).to.equal(0);
	});

	it('refuses a request at once that would end after its deadline on every target', () => {
		const admission = makeAdmission(6, 20);
		expect(admission.offer('relaxed', { ...REQUEST, remainingMs: 500 }, 0).kind).to.equal('send');
		fill(admission, { ...REQUEST, remainingMs: 500 });
		const decision = admission.offer('hopeless', { ...REQUEST, remainingMs: 400 }, 0);
		expect(decision).to.include({ kind: 'refuse', reason: 'deadlineTooShort' });
	});

	it('serves a waiting request whose customer is in no report any more', () => {
		const admission = makeAdmission(6);
		fill(admission, REQUEST);
		admission.setReports([[10, 'a', 3]]);
		admission.setReports([]);
		admission.recordEnd('a');
		expect(admission.takeReady(5)).to.match(/^filler/);
	});

	it('tells peers of its use only while the capacity is short, and for a short while after', () => {
		const admission = makeAdmission(6);
		expect(admission.describeUse(0, 100)).to.equal(undefined);
		const sent = fill(admission, REQUEST);
		expect(admission.describeUse(2000, 100)?.slice(1)).to.deep.equal(['a', sent]);
		expect(admission.describeUse(2001, 100)).to.equal(undefined);
	});

	it('lets a caller that returns use room that a new one does not get', () => {
		const admission = makeAdmission(60);
		for (let count = 0; count < 60; count++) {
			admission.offer(`a${count}`, REQUEST, 0);
		}
		while (admission.offer('refused', REQUEST, 0).kind !== 'refuse') {
			// Fills the targets and the queue here, so that returns are expected.
		}
		admission.takeAll();
		admission.recordEnd('a');
		expect(admission.offer('new', REQUEST, 60).kind).to.not.equal('send');
		admission.takeAll();
		expect(admission.offer('back', { ...REQUEST, remainingMs: 400 }, 60).kind).to.equal('send');
	});
});

describe('computeAllowance', () => {
	const fleet = { instances: 10, heard: 9, demands: [] };

	it('lends nearly all that others leave free while most is free, and only the own share once it is full', () => {
		const idle = computeAllowance(100, fleet, {
			ownRequests: 5,
			otherRequests: 10,
			isComplete: false,
			ownDemand: 1,
		});
		const full = computeAllowance(100, fleet, {
			ownRequests: 10,
			otherRequests: 89,
			isComplete: false,
			ownDemand: 1,
		});
		expect(idle).to.be.within(85, 95);
		expect(full).to.be.within(10, 11);
	});

	it('allows only the own share to an instance that hears nobody', () => {
		const use = { ownRequests: 0, otherRequests: 0, isComplete: false, ownDemand: 1 };
		const isolated = { ...fleet, heard: 0 };
		expect(computeAllowance(100, isolated, use)).to.be.closeTo(10, 0.001);
		expect(computeAllowance(100, isolated, { ...use, isComplete: true })).to.be.above(90);
	});

	it('takes the demand of instances that report none for the mean', () => {
		expect(computeShare({ ...fleet, demands: [3] }, 1)).to.be.closeTo(0.9 * (1 / 20) + 0.01, 1e-9);
	});
});

describe('ReturnSchedule', () => {
	it('spreads the returns over time, the urgent first', () => {
		const returns = new ReturnSchedule();
		const later = [0, 1, 2].map(() => returns.schedule(1, 0.08, 3000, 0, 0));
		const urgent = returns.schedule(0, 0.08, 3000, 0, 0);
		expect(later).to.deep.equal([50, 150, 250]);
		expect(urgent).to.equal(50);
	});

	it('asks no caller to wait for more than a third of the time that it has left', () => {
		const returns = new ReturnSchedule();
		const delays = Array.from({ length: 50 }, (_, index) => returns.schedule(0, 0.08, 600, 0, index / 50));
		expect(Math.max(...delays)).to.be.at.most(200);
		expect(new Set(delays).size).to.be.at.least(25);
	});
});

describe('estimateServiceCapacity', () => {
	it('counts the KV cache as capacity if it holds fewer prompts than there are slots', () => {
		const engines = makeEngines([50, 20]);
		const long = estimateServiceCapacity(engines, { capacityTokens: 365_638, tokensPerRequest: 9200 }, 0);
		const short = estimateServiceCapacity(engines, { capacityTokens: 365_638, tokensPerRequest: 713 }, 0);
		expect(long.concurrency).to.equal(2 * 39);
		expect(short.concurrency).to.equal(2 * 64);
		expect(estimateServiceCapacity(makeEngines([79]), undefined, 0).leastQueue).to.equal(0.25);
	});
});
