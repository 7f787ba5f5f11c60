import { expect } from 'chai';
import { ORIGIN_RETENTION_MS } from '../../src/common/streamOrigins.js';
import { findCommonVersion, VersionHistory } from '../../src/common/versionHistory.js';
import { makeRecord } from './fixtures.js';

const FRESH_MS = 500;
const ONE = makeRecord('a', { version: 'v1' });
const TWO = makeRecord('b', { version: 'v2' });

function makeHistory(isFirstStart = false): VersionHistory {
	const history = new VersionHistory(isFirstStart);
	history.update([ONE], 0);
	return history;
}

describe('VersionHistory', () => {
	it('names the only version of a service, once streams of earlier ones can no longer be resumed', () => {
		const history = makeHistory();
		const isKnownAt = (nowMs: number): string => history.describe('engines', FRESH_MS, nowMs).kind;
		expect(isKnownAt(ORIGIN_RETENTION_MS - 1)).to.equal('unknown');
		expect(history.describe('engines', FRESH_MS, ORIGIN_RETENTION_MS)).to.deep.equal({
			kind: 'sole',
			version: 'v1',
		});
	});

	it('names it at once when the whole fleet starts for the first time', () => {
		expect(makeHistory(true).describe('engines', FRESH_MS, 1).kind).to.equal('sole');
	});

	it('knows of several versions as long as streams of each may be resumed', () => {
		const history = makeHistory(true);
		history.update([ONE, TWO], 1000);
		expect(history.describe('engines', FRESH_MS, 1000).kind).to.equal('several');
		history.update([TWO], 2000);
		expect(history.describe('engines', FRESH_MS, 2000 + ORIGIN_RETENTION_MS).kind).to.equal('several');
		expect(history.describe('engines', FRESH_MS, 2001 + ORIGIN_RETENTION_MS)).to.deep.equal({
			kind: 'sole',
			version: 'v2',
		});
	});

	it('cannot tell by an old list, to which a version may have been added since, or of another service', () => {
		const history = makeHistory(true);
		expect(history.describe('engines', 5000, 1).kind).to.equal('unknown');
		expect(history.describe('app', FRESH_MS, 1).kind).to.equal('unknown');
	});
});

describe('findCommonVersion', () => {
	const ofV1 = { kind: 'sole', version: 'v1' } as const;

	it('finds the version that some name and none contradicts', () => {
		expect(findCommonVersion([{ kind: 'unknown' }, ofV1, ofV1])).to.equal('v1');
	});

	for (const [reason, opinions] of [
		['nobody can tell', [{ kind: 'unknown' }]],
		['one knows of several', [ofV1, { kind: 'several' }]],
		['two name different ones', [ofV1, { kind: 'sole', version: 'v2' }]],
	] as const) {
		it(`finds none if ${reason}`, () => {
			expect(findCommonVersion(opinions)).to.equal(undefined);
		});
	}
});
