/**
 * Parses the rules text. Each line holds one rule, caller or model, and ends with a comment that names the
 * requester:
 *
 *     rule NAME [match …] -> pool=POOL [action …] # requested by …
 *     caller SHA256 customer=… caller=… # requested by …
 *     model NAME pool=POOL [version=… adapters=a,b replicas=… role=…] # requested by …
 */
import type { Finding } from '../base/finding.js';
import type { Result } from '../base/result.js';
import { Err, Ok } from '../base/result.js';
import { MAX_VALUE_BYTES } from '../platform/keyValueStore.js';
import { checkRuleSet } from './checkRuleSet.js';
import { FindingCollector, LineReader } from './lineReader.js';
import { parseCallerKey, parseModelPlacement } from './parseCallerAndModel.js';
import { parseRule } from './parseRule.js';
import type { RuleLine } from './ruleLine.js';
import { splitRuleLines } from './ruleLine.js';
import type { CallerKey, ModelPlacement, Rule, RuleSet } from './rules.js';

interface ParsedLines {
	readonly rules: Rule[];
	readonly callers: CallerKey[];
	readonly models: ModelPlacement[];
}

/** Parses and checks the whole text; reports all findings in the order of the text. */
export function parseRules(text: string, source: string): Result<RuleSet, Finding[]> {
	const collector = new FindingCollector(source);
	if (countUtf8Bytes(text) > MAX_VALUE_BYTES) {
		collector.add(1, 1, `the document is larger than ${MAX_VALUE_BYTES} bytes`);
		return Err(collector.list());
	}
	const parsed: ParsedLines = { rules: [], callers: [], models: [] };
	for (const line of splitRuleLines(text)) {
		parseLine(line, parsed, collector);
	}
	checkRuleSet(parsed, collector);
	const findings = collector.list();
	return findings.length > 0 ? Err(findings) : Ok(parsed);
}

function parseLine(line: RuleLine, parsed: ParsedLines, collector: FindingCollector): void {
	const reader = new LineReader(line, collector);
	const [word] = line.words;
	switch (word?.text) {
		case 'rule':
			parsed.rules.push(parseRule(reader));
			return;
		case 'caller':
			parsed.callers.push(parseCallerKey(reader));
			return;
		case 'model':
			parsed.models.push(parseModelPlacement(reader));
			return;
		case undefined:
		default:
			reader.report(word?.column ?? 1, `a line starts with rule, caller or model, not '${word?.text ?? ''}'`);
	}
}

/** Counts the bytes of `text` in UTF-8. */
export function countUtf8Bytes(text: string): number {
	let bytes = 0;
	for (const character of text) {
		const code = character.codePointAt(0) ?? 0;
		bytes += code < 0x80 ? 1 : code < 0x800 ? 2 : code < 0x1_0000 ? 3 : 4;
	}
	return bytes;
}
