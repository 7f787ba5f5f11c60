/** Finds the rule that applies to a request: the first match in file order. */
import type { RequestAttributes, Rule, RuleMatch, RuleSet } from './rules.js';

/** Returns the first matching rule, or undefined if none matches. */
export function matchRule(ruleSet: RuleSet, request: RequestAttributes): Rule | undefined {
	return ruleSet.rules.find((rule) => isCovering(rule.match, request));
}

/** Whether `wide` matches everything that `narrow` does: one request, or every request of another rule. */
export function isCovering(wide: RuleMatch, narrow: RuleMatch): boolean {
	return (
		isCoveringValue(wide.customer, narrow.customer) &&
		isCoveringValue(wide.caller, narrow.caller) &&
		isCoveringValue(wide.kind, narrow.kind) &&
		isCoveringValue(wide.method, narrow.method) &&
		isCoveringValue(wide.model, narrow.model) &&
		isCoveringPath(wide.path, narrow.path)
	);
}

function isCoveringValue(wide: string | undefined, narrow: string | undefined): boolean {
	return wide === undefined || wide === narrow;
}

function isCoveringPath(wide: string | undefined, narrow: string | undefined): boolean {
	if (wide?.endsWith('*') === true && narrow !== undefined) {
		return narrow.startsWith(wide.slice(0, -1));
	}
	return isCoveringValue(wide, narrow);
}
