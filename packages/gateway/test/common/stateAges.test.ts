import { expect } from 'chai';
import { StateAges } from '../../src/common/stateAges.js';
import { makePeerState } from './fixtures.js';

const { instance } = makePeerState('a');
const restarted = { ...instance, incarnation: '2' };

describe('StateAges', () => {
	it('a slow relay: a state is as old as it arrives later than usual, and is dropped once a newer one has arrived', () => {
		const ages = new StateAges();
		expect(ages.record({ instance, sentAtMs: 1000 }, 90_005)).to.equal(0);
		expect(ages.record({ instance, sentAtMs: 1300 }, 92_305)).to.be.closeTo(2000, 5);
		expect(ages.record({ instance, sentAtMs: 1200 }, 92_310)).to.equal(undefined);
		expect(ages.record({ instance, sentAtMs: 1300 }, 92_310)).to.equal(undefined);
	});

	it('a restarted instance: a late state of its last start does not bring that back', () => {
		const ages = new StateAges();
		ages.record({ instance, sentAtMs: 5000 }, 5000);
		expect(ages.record({ instance: restarted, sentAtMs: 10 }, 6000)).to.equal(0);
		expect(ages.record({ instance, sentAtMs: 5300 }, 6010)).to.equal(undefined);
	});

	it('states of older versions, which do not tell when they were sent, are taken as they arrive', () => {
		const ages = new StateAges();
		expect(ages.record({ instance, sentAtMs: undefined }, 5)).to.equal(0);
		expect(ages.record({ instance, sentAtMs: undefined }, 4)).to.equal(0);
	});

	it('clocks that drift apart do not make all states look old', () => {
		const ages = new StateAges();
		let ageMs: number | undefined;
		for (let nowMs = 0; nowMs < 3_600_000; nowMs += 300) {
			ageMs = ages.record({ instance, sentAtMs: Math.round(nowMs * 0.9995) + 1 }, nowMs);
		}
		expect(ageMs).to.be.below(5);
	});
});
