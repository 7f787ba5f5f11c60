/** Builds the rules file of a fleet that the harness starts. */
import { hashToken } from './routerProcess.js';

/** A class of requests, for which one rule is generated. */
export interface TrafficClass {
	readonly pool: string;
	readonly requestClass: string;
	readonly kind: 'generation' | 'call';
	/** Whether calls of the class carry an idempotency key. */
	readonly isOnce: boolean;
}

const REQUESTED_BY = '# requested by the test harness';

/** Returns the caller key that a customer's programs authenticate with. */
export function makeCallerKey(customer: string): string {
	return `key-of-${customer}`;
}

/**
 * Builds one rule per class and one caller line per customer.
 * @param loadBound load bound of the rules for generations; the default applies if omitted
 */
export function buildRules(
	classes: readonly TrafficClass[],
	customers: readonly string[],
	loadBound?: number,
): string {
	const bound = loadBound === undefined ? '' : ` bound=${loadBound}`;
	const lines = [
		...classes.map((item, index) => formatRule(item, index, bound)),
		...customers.map(
			(customer) =>
				`caller ${hashToken(makeCallerKey(customer))} customer=${customer} caller=load ${REQUESTED_BY}`,
		),
	];
	return `${lines.join('\n')}\n`;
}

/** Generations are matched by model, calls by method and path. */
function formatRule(
	{ pool, requestClass, kind, isOnce }: TrafficClass,
	index: number,
	bound: string,
): string {
	const name = `${requestClass}-${index + 1}`;
	if (kind === 'generation') {
		const match = `kind=generation model=${requestClass}`;
		return `rule ${name} ${match} -> pool=${pool} affinity=chat class=${requestClass}${bound} ${REQUESTED_BY}`;
	}
	const match = `path=/${pool}/${requestClass}* method=${isOnce ? 'POST' : 'GET'}`;
	const once = isOnce ? ' once=Idempotency-Key' : '';
	return `rule ${name} ${match} -> pool=${pool} class=${requestClass}${once} ${REQUESTED_BY}`;
}
