/** Checks across the lines of a rule set: duplicates and rules that can never match. */
import type { FindingCollector } from './lineReader.js';
import { isCovering } from './matchRule.js';
import type { Rule, RuleSet } from './rules.js';

const FIRST_COLUMN = 1;

/** Reports duplicates and unreachable rules to the collector. */
export function checkRuleSet(ruleSet: RuleSet, collector: FindingCollector): void {
	reportDuplicates(ruleSet.rules, (rule) => rule.name, 'rule name', collector);
	reportDuplicates(ruleSet.callers, (caller) => caller.keyHash, 'caller key', collector);
	reportDuplicates(ruleSet.models ?? [], (model) => `${model.model} in ${model.pool}`, 'model', collector);
	ruleSet.rules.forEach((rule, index) => {
		reportIfUnreachable(rule, ruleSet.rules.slice(0, index), collector);
	});
}

function reportDuplicates<T extends { readonly line: number }>(
	items: readonly T[],
	getKey: (item: T) => string,
	itemName: string,
	collector: FindingCollector,
): void {
	const firstLines = new Map<string, number>();
	for (const item of items) {
		const key = getKey(item);
		const firstLine = firstLines.get(key);
		if (firstLine === undefined) {
			firstLines.set(key, item.line);
			continue;
		}
		collector.add(item.line, FIRST_COLUMN, `duplicate ${itemName} '${key}', first on line ${firstLine}`);
	}
}

function reportIfUnreachable(rule: Rule, earlier: readonly Rule[], collector: FindingCollector): void {
	const coveringRule = earlier.find((candidate) => isCovering(candidate.match, rule.match));
	if (coveringRule === undefined) {
		return;
	}
	collector.add(
		rule.line,
		FIRST_COLUMN,
		`unreachable: rule '${coveringRule.name}' on line ${coveringRule.line} matches everything that this rule matches`,
	);
}
