import type { Clock } from '@sinonjs/fake-timers';
import { install } from '@sinonjs/fake-timers';
import { expect } from 'chai';
import { TargetState } from '../../src/common/targetState.js';
import { TargetTable } from '../../src/common/targetTable.js';
import type { AdmissionInput, AdmissionTicket } from '../../src/node/admissionControl.js';
import { AdmissionControl } from '../../src/node/admissionControl.js';
import { makeRecord } from '../common/fixtures.js';

const INPUT: AdmissionInput = {
	service: 'engines',
	route: 'call',
	customer: 'a',
	priority: 0,
	objectiveMs: 144,
	remainingMs: 611,
	tokens: 0,
	bodyBytes: 1000,
};

describe('AdmissionControl', () => {
	let clock: Clock;
	let control: AdmissionControl;
	let events: string[];

	beforeEach(() => {
		clock = install({ toFake: ['setTimeout', 'clearTimeout', 'performance'] });
		events = [];
		const targets = new TargetTable('a');
		targets.applyChange({ added: [makeRecord('one', { slots: 4 })], changed: [], removed: [] });
		control = new AdmissionControl({
			targets,
			log: { write: () => undefined },
			countDecision: () => undefined,
			findService: () => undefined,
			listPeers: () => [],
			countInstances: () => 1,
			seeds: 0,
		});
	});

	afterEach(() => {
		control.dispose();
		clock.uninstall();
	});

	function open(name: string, changes: Partial<AdmissionInput> = {}): AdmissionTicket {
		const ticket = control.open(
			{ ...INPUT, ...changes },
			{
				onAdmitted: () => {
					events.push(`${name} sent`);
				},
				onRefused: (reason) => {
					events.push(`${name} ${reason}`);
				},
			},
		);
		ticket.start();
		return ticket;
	}

	/** Opens requests until one waits; returns those that were sent, and the one that waits. */
	function fill(): { readonly sent: readonly AdmissionTicket[]; readonly waiting: AdmissionTicket } {
		const measured = open('measured');
		measured.recordSend(new TargetState(makeRecord('one', { slots: 4 })));
		clock.tick(21);
		measured.recordServed();
		measured.end();
		const sent: AdmissionTicket[] = [];
		while (sent.length < 100) {
			const ticket = open(`filler ${sent.length}`);
			if (control.waiting > 0) {
				events = [];
				return { sent, waiting: ticket };
			}
			sent.push(ticket);
		}
		throw new Error('No request waits.');
	}

	it('sends a waiting request as soon as another has ended', () => {
		const { sent } = fill();
		expect(sent.length).to.be.at.least(4);
		sent[0]?.end();
		expect(events).to.deep.equal([`filler ${sent.length} sent`]);
	});

	it('refuses a waiting request in time by itself, when none ends', () => {
		fill();
		clock.tick(60);
		expect(events).to.deep.equal([]);
		clock.tick(30);
		expect(events).to.have.length(1);
		expect(events[0]).to.contain('capacityShort');
		expect(clock.countTimers()).to.equal(0);
	});

	it('forgets a waiting request whose caller leaves, and its body', () => {
		const { sent, waiting } = fill();
		waiting.end();
		expect(control.waiting).to.equal(0);
		sent[0]?.end();
		clock.tick(200);
		expect(events).to.deep.equal([]);
	});

	it('refuses all waiting requests when the instance ends', () => {
		const { sent } = fill();
		control.refuseAll();
		expect(events).to.deep.equal([`filler ${sent.length} draining`]);
		sent[0]?.end();
		expect(events).to.have.length(1);
	});

	it('lets no request wait whose body does not fit into the memory for waiting requests', () => {
		fill();
		open('large', { customer: 'b', bodyBytes: 40_000_000 });
		expect(events).to.deep.equal(['large capacityShort']);
	});
});
