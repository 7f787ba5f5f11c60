/** Splits the rules text into lines, and each line into words with their columns and its comment. */

/** A sequence of characters without white space. */
export interface Word {
	readonly text: string;
	/** Column of the first character, from 1. */
	readonly column: number;
}

/** A `key=value` word. */
export interface Field {
	readonly key: string;
	readonly value: string;
	readonly column: number;
	/** Column of the value. */
	readonly valueColumn: number;
}

export interface RuleLine {
	/** Line number, from 1. */
	readonly line: number;
	readonly words: readonly Word[];
	/** Trimmed text of the trailing comment, or undefined if there is none. */
	readonly comment: string | undefined;
	/** Column after the last word, at which a missing part is reported. */
	readonly endColumn: number;
}

const WORD = /\S+/g;
const COMMENT_START = /(^|\s)#/;

/** Splits the text into lines, without those that are blank or hold only a comment. */
export function splitRuleLines(text: string): readonly RuleLine[] {
	return text
		.split(/\r?\n/)
		.map((content, index) => splitRuleLine(content, index + 1))
		.filter((line) => line.words.length > 0);
}

function splitRuleLine(content: string, line: number): RuleLine {
	const match = COMMENT_START.exec(content);
	const hashIndex = match === null ? -1 : match.index + match[0].length - 1;
	const code = hashIndex < 0 ? content : content.slice(0, hashIndex);
	const comment = hashIndex < 0 ? undefined : content.slice(hashIndex + 1).trim();
	const words = [...code.matchAll(WORD)].map((word) => ({ text: word[0], column: word.index + 1 }));
	return { line, words, comment, endColumn: code.trimEnd().length + 1 };
}

/** Splits `key=value`; returns undefined if the word has no key or no value. */
export function splitField(word: Word): Field | undefined {
	const index = word.text.indexOf('=');
	if (index <= 0 || index === word.text.length - 1) {
		return undefined;
	}
	return {
		key: word.text.slice(0, index),
		value: word.text.slice(index + 1),
		column: word.column,
		valueColumn: word.column + index + 1,
	};
}
