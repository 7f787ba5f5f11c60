import { expect } from 'chai';
import { ORIGIN_RETENTION_MS, StreamOrigins } from '../../src/common/streamOrigins.js';

describe('StreamOrigins', () => {
	it('keeps the first origin of a stream, whatever is said later', () => {
		const origins = new StreamOrigins();
		origins.add(['a', 'engines', 'v1', 0], 0);
		origins.add(['a', 'engines', 'v2', 0], 1);
		expect(origins.find('a')?.version).to.equal('v1');
	});

	it('forgets origins that callers can no longer name', () => {
		const origins = new StreamOrigins();
		origins.add(['a', 'engines', 'v1', 1000], 0);
		origins.add(['b', 'engines', 'v1', 0], ORIGIN_RETENTION_MS - 500);
		expect([origins.find('a'), origins.find('b')?.version]).to.deep.equal([undefined, 'v1']);
	});

	it('lists the newest first, with their ages', () => {
		const origins = new StreamOrigins();
		origins.add(['a', 'engines', 'v1', 0], 0);
		origins.add(['b', 'engines', 'v1', 0], 500);
		origins.add(['c', 'engines', 'v2', 0], 700);
		expect(origins.listRecent(500, 1000)).to.deep.equal([
			['c', 'engines', 'v2', 300],
			['b', 'engines', 'v1', 500],
		]);
	});

	// Guards against a process that ends at its heap limit because callers name their attempts at length.
	it('forgets the oldest origins if the ids are long', () => {
		const origins = new StreamOrigins();
		const ids = Array.from({ length: 2000 }, (_, index) => String(index).padStart(12_000, 'a'));
		for (const id of ids) {
			origins.add([id, 'engines', 'v1', 0], 0);
		}
		const known = ids.filter((id) => origins.find(id) !== undefined);
		expect(known.length * 12_000).to.be.within(1_000_000, 10_000_000);
		expect(known.at(-1)).to.equal(ids.at(-1));
	});
});
