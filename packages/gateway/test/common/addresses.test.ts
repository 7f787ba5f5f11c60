import { expect } from 'chai';
import { sampleAddresses } from '../../src/common/addresses.js';

describe('sampleAddresses', () => {
	const addresses = Array.from({ length: 100 }, (_, index) => `10.0.0.${index}:1`);

	it('takes all of a short list', () => {
		expect(sampleAddresses(addresses.slice(0, 40), 40, 0.5)).to.deep.equal(addresses.slice(0, 40));
	});

	it('fleet of 100: each sample names different ones, and each address is named in turn', () => {
		const named = new Set<string>();
		for (let turn = 0; turn < 1; turn += 0.01) {
			const sample = sampleAddresses(addresses, 40, turn);
			expect(new Set(sample).size).to.equal(40);
			for (const address of sample) {
				named.add(address);
			}
		}
		expect(named.size).to.equal(100);
	});
});
