/**
 * Line-based deltas between two versions of a text. A delta describes the new text as runs of lines copied
 * from the old text and inserted lines; it also copies lines that moved.
 */

export type DeltaStep =
	/** Copies a run of lines of the old text: index of the first line, from 0, and number of lines. */
	readonly ['copy', number, number] | readonly ['insert', string];

/** Computes the steps that turn `oldText` into `newText`. */
export function computeDelta(oldText: string, newText: string): readonly DeltaStep[] {
	const oldLines = oldText.split('\n');
	const newLines = newText.split('\n');
	const firstIndexes = collectFirstIndexes(oldLines);
	const steps: DeltaStep[] = [];
	let index = 0;
	let expected = 0;
	while (index < newLines.length) {
		const from = findStart(oldLines, firstIndexes, newLines[index] ?? '', expected);
		if (from === undefined) {
			steps.push(['insert', newLines[index] ?? '']);
			index++;
			continue;
		}
		const count = countEqual(oldLines, from, newLines, index);
		steps.push(['copy', from, count]);
		index += count;
		expected = from + count;
	}
	return steps;
}

/**
 * Applies `steps` to `oldText`. Returns undefined if a step is out of range or the result exceeds
 * `maxLength`.
 */
export function applyDelta(
	oldText: string,
	steps: readonly DeltaStep[],
	maxLength: number,
): string | undefined {
	const oldLines = oldText.split('\n');
	const lines: string[] = [];
	let length = 0;
	for (const step of steps) {
		const added = step[0] === 'copy' ? copyLines(oldLines, step[1], step[2]) : [step[1]];
		if (added === undefined) {
			return undefined;
		}
		for (const line of added) {
			length += line.length + 1;
			lines.push(line);
		}
		if (length > maxLength + 1) {
			return undefined;
		}
	}
	return lines.join('\n');
}

/** Checks whether a decoded JSON value is a list of delta steps. */
export function isDelta(value: unknown): value is readonly DeltaStep[] {
	return Array.isArray(value) && value.every(isStep);
}

function isStep(step: unknown): boolean {
	if (!Array.isArray(step)) {
		return false;
	}
	if (step[0] === 'insert') {
		return step.length === 2 && typeof step[1] === 'string';
	}
	return step[0] === 'copy' && step.length === 3 && step.slice(1).every((item) => Number.isSafeInteger(item));
}

function collectFirstIndexes(lines: readonly string[]): ReadonlyMap<string, number> {
	const firstIndexes = new Map<string, number>();
	lines.forEach((line, index) => {
		if (!firstIndexes.has(line)) {
			firstIndexes.set(line, index);
		}
	});
	return firstIndexes;
}

function findStart(
	oldLines: readonly string[],
	firstIndexes: ReadonlyMap<string, number>,
	line: string,
	expected: number,
): number | undefined {
	return oldLines[expected] === line ? expected : firstIndexes.get(line);
}

function countEqual(a: readonly string[], aFrom: number, b: readonly string[], bFrom: number): number {
	let count = 1;
	while (aFrom + count < a.length && bFrom + count < b.length && a[aFrom + count] === b[bFrom + count]) {
		count++;
	}
	return count;
}

function copyLines(lines: readonly string[], from: number, count: number): readonly string[] | undefined {
	if (from < 0 || count < 1 || from + count > lines.length) {
		return undefined;
	}
	return lines.slice(from, from + count);
}
