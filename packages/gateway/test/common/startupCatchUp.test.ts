import { expect } from 'chai';
import type { PeerState } from '../../src/common/peerState.js';
import { StartupCatchUp } from '../../src/common/startupCatchUp.js';

describe('StartupCatchUp', () => {
	function makePeer(configurationVersion: number, isServing = true): PeerState {
		return { isServing, configurationVersion } as PeerState;
	}

	it('waits for the version that a serving peer has', () => {
		const catchUp = new StartupCatchUp(0, false);
		catchUp.recordContact(10);
		catchUp.recordPeer(makePeer(7));
		expect(catchUp.update(5, 100)).to.equal(undefined);
		expect(catchUp.isComplete).to.equal(false);
		expect(catchUp.update(7, 100)).to.equal('complete');
		expect(catchUp.isComplete).to.equal(true);
	});

	it('does not wait for a peer that never delivers its version', () => {
		const catchUp = new StartupCatchUp(0, false);
		catchUp.recordPeer(makePeer(7));
		expect(catchUp.update(5, 999)).to.equal(undefined);
		expect(catchUp.isComplete).to.equal(false);
		expect(catchUp.update(5, 1000)).to.equal('timedOut');
		expect(catchUp.isComplete).to.equal(true);
	});

	it('serves from the store 30 ms after its peers were contacted, if none of them serves', () => {
		const catchUp = new StartupCatchUp(0, false);
		catchUp.recordContact(10);
		catchUp.recordPeer(makePeer(0, false));
		expect(catchUp.update(5, 39)).to.equal(undefined);
		expect(catchUp.isComplete).to.equal(false);
		expect(catchUp.update(5, 40)).to.equal('complete');
		expect(catchUp.isComplete).to.equal(true);
	});

	it('is not complete without a configuration, and stays complete afterwards', () => {
		const catchUp = new StartupCatchUp(0, false);
		expect(catchUp.update(0, 5000)).to.equal(undefined);
		expect(catchUp.isComplete).to.equal(false);
		expect(catchUp.update(1, 5000)).to.equal('complete');
		catchUp.recordPeer(makePeer(9));
		expect(catchUp.update(1, 5001)).to.equal(undefined);
		expect(catchUp.isComplete).to.equal(true);
	});

	it('first start of the whole fleet: there is nothing to wait for', () => {
		expect(new StartupCatchUp(0, true).isComplete).to.equal(true);
	});
});
