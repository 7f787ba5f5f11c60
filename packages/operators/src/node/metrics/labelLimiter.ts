/** Limits the number of label sets, and so the memory used by metrics. */

/** Label value of the customers and classes beyond the limit. */
export const OTHER_LABEL = 'other';

export interface RequestLabels {
	readonly customer: string;
	/** Request class of the rule, such as `plan`. */
	readonly class: string;
}

/** Admits label sets in order of first use; those beyond the limit are aggregated as `other`. */
export class LabelLimiter {
	private readonly admitted = new Map<string, Map<string, RequestLabels>>();
	private labelSetCount = 0;

	constructor(private readonly maxLabelSets: number) {}

	/** Returns the labels for a customer and class; the same object on each call while they are admitted. */
	public limit(customer: string, requestClass: string): RequestLabels {
		const known = this.admitted.get(customer)?.get(requestClass);
		return known ?? this.addLabels(customer, requestClass);
	}

	private addLabels(customer: string, requestClass: string): RequestLabels {
		if (this.labelSetCount >= this.maxLabelSets) {
			return { customer: OTHER_LABEL, class: OTHER_LABEL };
		}
		const labels = { customer, class: requestClass };
		const classes = this.admitted.get(customer) ?? new Map<string, RequestLabels>();
		this.admitted.set(customer, classes.set(requestClass, labels));
		this.labelSetCount++;
		return labels;
	}
}
