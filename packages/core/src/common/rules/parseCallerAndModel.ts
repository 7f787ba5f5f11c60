/** Parses the `caller` and `model` lines. */
import { EngineRole } from '../orders/engineOrder.js';
import type { LineReader, NumberBounds } from './lineReader.js';
import type { CallerKey, ModelPlacement } from './rules.js';

const KEY_HASH = /^[0-9a-f]{64}$/;
const CALLER_KEYS = ['customer', 'caller'];
const MODEL_KEYS = ['pool', 'version', 'adapters', 'replicas', 'role'];
const REPLICA_RANGE: NumberBounds = { min: 1, max: 100_000, isInteger: true };
/** An adapter name, optionally followed by `@` and a version. */
const ADAPTER_NAME = /^[A-Za-z0-9][A-Za-z0-9._:/-]*(@[A-Za-z0-9._-]+)?$/;

/** Parses `caller HASH customer=… caller=…`. */
export function parseCallerKey(reader: LineReader): CallerKey {
	const [, hashWord, ...words] = reader.line.words;
	const keyHash = hashWord?.text ?? '';
	if (!KEY_HASH.test(keyHash)) {
		const column = hashWord?.column ?? reader.line.endColumn;
		reader.report(column, 'expected the SHA-256 of the key: 64 hexadecimal digits in lower case');
	}
	reader.readFields(words, CALLER_KEYS);
	return {
		line: reader.line.line,
		keyHash,
		customer: reader.readRequiredName('customer'),
		caller: reader.readRequiredName('caller'),
		requestedBy: reader.readRequestedBy(),
	};
}

/** Parses `model NAME pool=… replicas=…`. */
export function parseModelPlacement(reader: LineReader): ModelPlacement {
	const [, nameWord, ...words] = reader.line.words;
	const model = nameWord?.text ?? '';
	if (model === '' || model.includes('=')) {
		reader.report(
			nameWord?.column ?? reader.line.endColumn,
			'a model line needs a name after the word model',
		);
	}
	reader.readFields(words, MODEL_KEYS);
	const version = reader.readName('version');
	const role = reader.readChoice('role', Object.values(EngineRole));
	return {
		line: reader.line.line,
		model,
		...(version === undefined ? {} : { version }),
		pool: reader.readRequiredName('pool'),
		adapters: readAdapters(reader),
		replicas: reader.readNumber('replicas', REPLICA_RANGE) ?? 1,
		...(role === undefined ? {} : { role }),
		requestedBy: reader.readRequestedBy(),
	};
}

function readAdapters(reader: LineReader): readonly string[] {
	const adapters = reader.readText('adapters')?.split(',') ?? [];
	const wrong = adapters.find((adapter) => !ADAPTER_NAME.test(adapter));
	if (wrong !== undefined) {
		reader.report(reader.readColumn('adapters'), `'${wrong}' is not an adapter name`);
	}
	return adapters;
}
