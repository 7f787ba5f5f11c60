/** Parses a `rule` line. */
import type { LineReader, NumberBounds } from './lineReader.js';
import type { Repeatability, Rule, RuleLimits, RuleMatch } from './rules.js';
import { AffinityKey, RequestKind } from './rules.js';

const MATCH_KEYS = ['customer', 'caller', 'kind', 'path', 'method', 'model'];
const ACTION_KEYS = [
	'pool',
	'affinity',
	'weight',
	'priority',
	'class',
	'bound',
	'rps',
	'tps',
	'inflight',
	'once',
];
const METHODS = ['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS'];
const NON_IDEMPOTENT_METHODS = ['POST', 'PATCH'];
const MATCH_SEPARATOR = '->';
/** Value of `once` for calls that are safe to repeat. */
const ONCE_NONE = 'none';
const HEADER_NAME = /^[A-Za-z0-9!#$%&'*+.^_`|~-]+$/;

const WEIGHT_RANGE: NumberBounds = { min: 0.01, max: 1000, isInteger: false };
const PRIORITY_RANGE: NumberBounds = { min: 0, max: 9, isInteger: true };
const LOAD_BOUND_RANGE: NumberBounds = { min: 1.05, max: 10, isInteger: false };
const RATE_RANGE: NumberBounds = { min: 0.01, max: 1e9, isInteger: false };
const IN_FLIGHT_RANGE: NumberBounds = { min: 1, max: 1e6, isInteger: true };

const DEFAULT_WEIGHT = 1;
const DEFAULT_PRIORITY = 1;
const DEFAULT_LOAD_BOUND = 1.25;

/** Parses a `rule` line; errors are added to the reader's findings. */
export function parseRule(reader: LineReader): Rule {
	const [, nameWord, ...words] = reader.line.words;
	const name = readRuleName(reader, nameWord?.text);
	readRuleFields(reader, words);
	const match = readMatch(reader);
	return {
		line: reader.line.line,
		name,
		match,
		pool: reader.readRequiredName('pool'),
		affinity: readAffinity(reader, match),
		weight: reader.readNumber('weight', WEIGHT_RANGE) ?? DEFAULT_WEIGHT,
		priority: reader.readNumber('priority', PRIORITY_RANGE) ?? DEFAULT_PRIORITY,
		limits: readLimits(reader),
		repeatability: readRepeatability(reader, match),
		requestClass: reader.readName('class') ?? name,
		loadBound: reader.readNumber('bound', LOAD_BOUND_RANGE) ?? DEFAULT_LOAD_BOUND,
		requestedBy: reader.readRequestedBy(),
	};
}

function readRuleName(reader: LineReader, name: string | undefined): string {
	if (name !== undefined && name !== MATCH_SEPARATOR && !name.includes('=')) {
		return name;
	}
	reader.report(
		reader.line.words[1]?.column ?? reader.line.endColumn,
		'a rule needs a name after the word rule',
	);
	return '';
}

function readRuleFields(reader: LineReader, words: LineReader['line']['words']): void {
	const arrow = words.findIndex((word) => word.text === MATCH_SEPARATOR);
	if (arrow < 0) {
		reader.report(reader.line.endColumn, `missing '${MATCH_SEPARATOR}' between match and action`);
		reader.readFields(words, [...MATCH_KEYS, ...ACTION_KEYS]);
		return;
	}
	reader.readFields(words.slice(0, arrow), MATCH_KEYS);
	reader.readFields(words.slice(arrow + 1), ACTION_KEYS);
}

function readMatch(reader: LineReader): RuleMatch {
	const kind =
		reader.readText('kind') === '*' ? undefined : reader.readChoice('kind', Object.values(RequestKind));
	const method = reader.readText('method') === '*' ? undefined : reader.readChoice('method', METHODS);
	return removeUndefined({
		customer: reader.readMatchName('customer'),
		caller: reader.readMatchName('caller'),
		kind,
		path: readPath(reader),
		method,
		model: reader.readMatchName('model'),
	});
}

function readPath(reader: LineReader): string | undefined {
	const path = reader.readText('path');
	if (path === undefined || path === '*') {
		return undefined;
	}
	const star = path.indexOf('*');
	if (!path.startsWith('/') || (star >= 0 && star < path.length - 1)) {
		reader.report(
			reader.readColumn('path'),
			`path '${path}' must start with / and may have one * at its end`,
		);
	}
	return path;
}

function readAffinity(reader: LineReader, match: RuleMatch): AffinityKey {
	const affinity = reader.readChoice('affinity', Object.values(AffinityKey));
	return affinity ?? (match.kind === RequestKind.Generation ? AffinityKey.Chat : AffinityKey.None);
}

function readLimits(reader: LineReader): RuleLimits {
	return removeUndefined({
		requestsPerSecond: reader.readNumber('rps', RATE_RANGE),
		tokensPerSecond: reader.readNumber('tps', RATE_RANGE),
		inFlight: reader.readNumber('inflight', IN_FLIGHT_RANGE),
	});
}

/** A rule that can match a non-idempotent call must state whether the call may be repeated. */
function readRepeatability(reader: LineReader, match: RuleMatch): Repeatability {
	const keyHeader = reader.readText('once');
	if (keyHeader === undefined) {
		if (isNonIdempotentMatch(match)) {
			reader.report(
				reader.line.endColumn,
				`missing key 'once': the rule matches POST or PATCH calls; name the header of the ` +
					`idempotency key, or once=${ONCE_NONE} if repeating does no harm`,
			);
		}
		return { kind: 'idempotent' };
	}
	if (!HEADER_NAME.test(keyHeader)) {
		reader.report(reader.readColumn('once'), `'${keyHeader}' is not a header name`);
	}
	return keyHeader === ONCE_NONE ? { kind: 'idempotent' } : { kind: 'once', keyHeader };
}

function isNonIdempotentMatch(match: RuleMatch): boolean {
	const isCall = match.kind !== RequestKind.Generation;
	return isCall && (match.method === undefined || NON_IDEMPOTENT_METHODS.includes(match.method));
}

function removeUndefined<T extends object>(value: { [K in keyof T]: T[K] | undefined }): T {
	return Object.fromEntries(Object.entries(value).filter(([, field]) => field !== undefined)) as T;
}
