/** Problems found while checking a text. All are collected with their positions and reported together. */

/** A position in a text; line and column are 1-based. */
export interface TextPosition {
	readonly line: number;
	readonly column: number;
}

export interface Finding {
	/** The file or document that was checked. */
	readonly source: string;
	readonly place: TextPosition;
	readonly message: string;
}

/** Formats a finding as `source:line:column: message`. */
export function formatFinding(finding: Finding): string {
	return `${finding.source}:${finding.place.line}:${finding.place.column}: ${finding.message}`;
}
