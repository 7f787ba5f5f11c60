/** Reads typed values from the fields of one line and collects findings about invalid ones. */
import type { Finding } from '../base/finding.js';
import type { Field, RuleLine, Word } from './ruleLine.js';
import { splitField } from './ruleLine.js';

const NAME = /^[A-Za-z0-9][A-Za-z0-9._:/-]*$/;
const REQUESTED_BY = /^requested\s+by\s+/i;
const HAS_LETTER = /\p{L}/u;

export interface NumberBounds {
	readonly min: number;
	readonly max: number;
	readonly isInteger: boolean;
}

/** Collects the findings of one text. */
export class FindingCollector {
	private readonly findings: Finding[] = [];

	constructor(private readonly source: string) {}

	public add(line: number, column: number, message: string): void {
		this.findings.push({ source: this.source, place: { line, column }, message });
	}

	/** Lists the findings in the order of the text. */
	public list(): Finding[] {
		return this.findings.sort((a, b) => a.place.line - b.place.line || a.place.column - b.place.column);
	}
}

/** The fields of one line, by key. */
export class LineReader {
	private readonly fields = new Map<string, Field>();

	constructor(
		public readonly line: RuleLine,
		private readonly collector: FindingCollector,
	) {}

	/** Parses `words` as fields; a key that is duplicate or not among `known` is a finding. */
	public readFields(words: readonly Word[], known: readonly string[]): void {
		for (const word of words) {
			this.readField(word, known);
		}
	}

	private readField(word: Word, known: readonly string[]): void {
		const field = splitField(word);
		if (field === undefined) {
			this.report(word.column, `expected key=value, found '${word.text}'`);
			return;
		}
		if (!known.includes(field.key)) {
			this.report(field.column, `unknown key '${field.key}' here; known: ${known.join(', ')}`);
			return;
		}
		if (this.fields.has(field.key)) {
			this.report(field.column, `duplicate key '${field.key}'`);
			return;
		}
		this.fields.set(field.key, field);
	}

	/** Returns the value of `key` as written, or undefined. */
	public readText(key: string): string | undefined {
		return this.fields.get(key)?.value;
	}

	/** Returns the column of the value of `key`, or the end of the line if the key is absent. */
	public readColumn(key: string): number {
		return this.fields.get(key)?.valueColumn ?? this.line.endColumn;
	}

	/** Returns a name; a missing required one is a finding. */
	public readRequiredName(key: string): string {
		const value = this.readName(key);
		if (this.fields.has(key)) {
			return value ?? '';
		}
		this.report(this.line.endColumn, `missing key '${key}'`);
		return '';
	}

	/** Returns a name, or undefined if it is absent or invalid. */
	public readName(key: string): string | undefined {
		const value = this.readText(key);
		if (value === undefined || NAME.test(value)) {
			return value;
		}
		this.report(this.readColumn(key), `'${value}' is not a name: letters, digits and . _ : / - only`);
		return undefined;
	}

	/** Returns the match value of `key`, or undefined, which matches everything, if it is `*` or absent. */
	public readMatchName(key: string): string | undefined {
		return this.readText(key) === '*' ? undefined : this.readName(key);
	}

	/** Returns one of `choices`, or undefined if it is absent or invalid. */
	public readChoice<T extends string>(key: string, choices: readonly T[]): T | undefined {
		const value = this.readText(key);
		const choice = choices.find((candidate) => candidate === value);
		if (value !== undefined && choice === undefined) {
			this.report(this.readColumn(key), `'${value}' is not one of ${choices.join(', ')}`);
		}
		return choice;
	}

	/** Returns a number within `bounds`, or undefined if it is absent or invalid. */
	public readNumber(key: string, bounds: NumberBounds): number | undefined {
		const value = this.readText(key);
		if (value === undefined) {
			return undefined;
		}
		const number = /^\d+(\.\d+)?$/.test(value) ? Number(value) : Number.NaN;
		if (number >= bounds.min && number <= bounds.max && (!bounds.isInteger || Number.isInteger(number))) {
			return number;
		}
		const what = bounds.isInteger ? 'an integer' : 'a number';
		this.report(this.readColumn(key), `${key}=${value} is not ${what} from ${bounds.min} to ${bounds.max}`);
		return undefined;
	}

	/** Returns the requester named in the comment of the line; a missing comment is a finding. */
	public readRequestedBy(): string {
		const requestedBy = (this.line.comment ?? '').replace(REQUESTED_BY, '');
		if (!HAS_LETTER.test(requestedBy)) {
			this.report(this.line.endColumn, "missing comment: end the line with '# requested by NAME'");
		}
		return requestedBy;
	}

	public report(column: number, message: string): void {
		this.collector.add(this.line.line, column, message);
	}
}
