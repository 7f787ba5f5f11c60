/** Parses and validates the settings file of a router. */
import type { Finding, Result, RouterSettings } from '@papayawell/core';
import { Err, Ok } from '@papayawell/core';
import type { TomlTable } from 'smol-toml';
import { TomlError, parse } from 'smol-toml';
import type { z } from 'zod';
import type { PathFinding } from './crossFieldChecks.js';
import { checkCrossFieldRules } from './crossFieldChecks.js';
import { settingsSchema, toRouterSettings } from './settingsSchema.js';
import { TomlPositions } from './tomlPositions.js';

/** Parses the TOML text; returns all findings with their positions, in the order of the text. */
export function parseSettings(text: string, source: string): Result<RouterSettings, Finding[]> {
	const document = parseToml(text, source);
	if (document.err) {
		return Err([document.val]);
	}
	const checked = settingsSchema.safeParse(document.val);
	const issues = checked.success ? [] : checked.error.issues.flatMap(toPathFindings);
	const findings = addPositions([...issues, ...checkCrossFieldRules(document.val)], text, source);
	if (checked.success && findings.length === 0) {
		return Ok(toRouterSettings(checked.data));
	}
	return Err(findings);
}

function parseToml(text: string, source: string): Result<TomlTable, Finding> {
	try {
		return Ok(parse(text));
	} catch (error) {
		if (!(error instanceof TomlError)) {
			throw error;
		}
		const [message = ''] = error.message.split('\n');
		return Err({ source, place: { line: error.line, column: error.column }, message });
	}
}

function toPathFindings(issue: z.core.$ZodIssue): readonly PathFinding[] {
	if (issue.code === 'unrecognized_keys') {
		return issue.keys.map((key) => ({ path: [...issue.path, key], message: `unknown key '${key}'` }));
	}
	const key = issue.path.join('.');
	if (issue.code === 'invalid_type' && issue.message.endsWith('received undefined')) {
		return [{ path: issue.path, message: `missing key '${key}'` }];
	}
	return [{ path: issue.path, message: `${key}: ${issue.message}` }];
}

function addPositions(findings: readonly PathFinding[], text: string, source: string): Finding[] {
	const places = new TomlPositions(text);
	return findings
		.map(({ path, message }) => ({ source, place: places.find(path), message }))
		.sort((a, b) => a.place.line - b.place.line || a.place.column - b.place.column);
}
