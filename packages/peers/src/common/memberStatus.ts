/**
 * Status of a member as seen by this router: a state machine driven by gossiped records and local failure
 * detection.
 */
import { setup, transition } from 'xstate';

export const MemberStatus = {
	Alive: 'alive',
	Draining: 'draining',
	Suspect: 'suspect',
	Dead: 'dead',
	Left: 'left',
} as const;
export type MemberStatus = (typeof MemberStatus)[keyof typeof MemberStatus];

/** A claim that the member has a status. `isNewer`: the member issued it after the current record. */
export interface MemberClaim {
	readonly type: MemberStatus;
	readonly isNewer: boolean;
}

/**
 * A newer claim always wins. Among equally new claims the more severe status wins, in the order alive, draining,
 * suspect, dead. `left` is accepted from any status.
 */
const memberMachine = setup({
	types: { events: {} as MemberClaim },
	guards: { isNewer: ({ event }) => event.isNewer },
}).createMachine({
	id: 'member',
	initial: 'alive',
	on: {
		alive: { target: '.alive', guard: 'isNewer' },
		draining: { target: '.draining', guard: 'isNewer' },
		suspect: { target: '.suspect', guard: 'isNewer' },
		dead: { target: '.dead', guard: 'isNewer' },
		left: { target: '.left' },
	},
	states: {
		alive: { on: { draining: 'draining', suspect: 'suspect', dead: 'dead' } },
		draining: { on: { suspect: 'suspect', dead: 'dead' } },
		suspect: { on: { dead: 'dead' } },
		dead: {},
		left: {},
	},
});

const snapshots = {
	alive: memberMachine.resolveState({ value: 'alive' }),
	draining: memberMachine.resolveState({ value: 'draining' }),
	suspect: memberMachine.resolveState({ value: 'suspect' }),
	dead: memberMachine.resolveState({ value: 'dead' }),
	left: memberMachine.resolveState({ value: 'left' }),
} as const;

/** Returns the status after applying a claim. */
export function nextMemberStatus(status: MemberStatus, claim: MemberClaim): MemberStatus {
	const [snapshot] = transition(memberMachine, snapshots[status], claim);
	return snapshot.value;
}
