/** Finds the line and column of keys and tables in a TOML text, for findings about parsed values. */
import type { TextPosition } from '@papayawell/core';

const TABLE_HEADER_PATTERN = /^(\s*\[+\s*)([^[\]]+?)\s*\]+/;
const KEY_PATTERN = /^(\s*)([A-Za-z0-9_.'"-]+(?:\s*\.\s*[A-Za-z0-9_'"-]+)*)\s*=/;
const START_OF_TEXT: TextPosition = { line: 1, column: 1 };
const SEPARATOR = '.';

/** Positions of the keys and tables of a text. */
export class TomlPositions {
	private readonly positions = new Map<string, TextPosition>();

	constructor(text: string) {
		let table = '';
		text.split(/\r?\n/).forEach((content, index) => {
			table = this.recordLine(content, index + 1, table);
		});
	}

	/** Returns the position of the key at `path`, or of the closest enclosing table. */
	public find(path: readonly PropertyKey[]): TextPosition {
		for (let length = path.length; length > 0; length--) {
			const place = this.positions.get(path.slice(0, length).map(String).join(SEPARATOR));
			if (place !== undefined) {
				return place;
			}
		}
		return START_OF_TEXT;
	}

	private recordLine(content: string, line: number, table: string): string {
		const header = TABLE_HEADER_PATTERN.exec(content);
		if (header !== null) {
			const name = normalizeKey(header[2] ?? '');
			this.positions.set(name, { line, column: (header[1] ?? '').length + 1 });
			return name;
		}
		const key = KEY_PATTERN.exec(content);
		if (key !== null) {
			const path = [table, normalizeKey(key[2] ?? '')].filter((part) => part !== '').join(SEPARATOR);
			this.positions.set(path, { line, column: (key[1] ?? '').length + 1 });
		}
		return table;
	}
}

function normalizeKey(text: string): string {
	return text
		.split(SEPARATOR)
		.map((part) => part.trim().replace(/^["']|["']$/g, ''))
		.join(SEPARATOR);
}
