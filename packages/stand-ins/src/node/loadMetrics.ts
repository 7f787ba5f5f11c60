/** Load metrics in the Prometheus text format. */

export interface LoadSample {
	readonly running: number;
	readonly waiting: number;
}

/** Renders `<kind>_requests_running` and `<kind>_requests_waiting`. */
export function renderLoad(kind: 'engine' | 'application', sample: LoadSample): string {
	return [
		`# TYPE ${kind}_requests_running gauge`,
		`${kind}_requests_running ${sample.running}`,
		`# TYPE ${kind}_requests_waiting gauge`,
		`${kind}_requests_waiting ${sample.waiting}`,
		'',
	].join('\n');
}
