/** Rules files of operators: the first line that states the version, and unified diffs. */
import { createTwoFilesPatch } from 'diff';

const VERSION_LINE = /^# configuration version (\d+)[^\n]*\n/;
const CONTEXT_LINES = 1;

/** The content of a rules file without its version line. */
export interface RulesFile {
	readonly text: string;
	/** Version on which the file is based, if the first line states it. */
	readonly baseVersion: number | undefined;
}

/** Splits off the version line, if there is one. */
export function splitVersionLine(content: string): RulesFile {
	const match = VERSION_LINE.exec(content);
	if (match === null) {
		return { text: content, baseVersion: undefined };
	}
	return { text: content.slice(match[0].length), baseVersion: Number(match[1]) };
}

/** Prepends the version line to the text. */
export function addVersionLine(text: string, version: number): string {
	return `# configuration version ${version}\n${text}`;
}

/** Renders a unified diff of two texts; empty if they are equal. */
export function renderDiff(oldName: string, oldText: string, newName: string, newText: string): string {
	if (oldText === newText) {
		return '';
	}
	return createTwoFilesPatch(oldName, newName, oldText, newText, undefined, undefined, {
		context: CONTEXT_LINES,
	});
}
