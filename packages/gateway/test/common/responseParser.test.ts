import { validateHeaderName, validateHeaderValue } from 'node:http';
import { expect } from 'chai';
import fc from 'fast-check';
import type { ResponseHead } from '../../src/common/responseParser.js';
import { ResponseFormatError, ResponseParser } from '../../src/common/responseParser.js';

interface Parsed {
	readonly heads: ResponseHead[];
	body: string;
	complete: number;
	surplus: string;
}

function parse(pieces: readonly string[], method = 'GET', finish = false): Parsed {
	const parsed: Parsed = { heads: [], body: '', complete: 0, surplus: '' };
	const parser = new ResponseParser(method, {
		onHead: (head) => parsed.heads.push(head),
		onBody: (chunk) => {
			parsed.body += chunk.toString('latin1');
		},
		onComplete: () => {
			parsed.complete += 1;
			return true;
		},
	});
	for (const piece of pieces) {
		parsed.surplus += parser.add(Buffer.from(piece, 'latin1')).toString('latin1');
	}
	if (finish) {
		parser.finish();
	}
	return parsed;
}

/** Returns the heads of a response; none if it is malformed. */
function tryParse(text: string): readonly ResponseHead[] {
	try {
		return parse([text]).heads;
	} catch (error) {
		expect(error).to.be.instanceOf(ResponseFormatError);
		return [];
	}
}

function splitAt(text: string, cuts: readonly number[]): string[] {
	const positions = [0, ...cuts.map((cut) => cut % text.length).sort((a, b) => a - b), text.length];
	return positions.slice(1).map((end, index) => text.slice(positions[index], end));
}

describe('ResponseParser', () => {
	const chunked =
		'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n6;x=y\r\n world\r\n0\r\nT: 1\r\n\r\n';

	it('parses the same response however its bytes are split', () => {
		fc.assert(
			fc.property(fc.array(fc.nat(1000), { maxLength: 12 }), (cuts) => {
				const parsed = parse(splitAt(`${chunked}rest`, cuts));
				expect(parsed.body).to.equal('hello world');
				expect(parsed.complete).to.equal(1);
				expect(parsed.surplus).to.equal('rest');
			}),
		);
	});

	it('skips interim (1xx) responses', () => {
		const parsed = parse(['HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n']);
		expect(parsed.heads.map(({ status }) => status)).to.deep.equal([204]);
		expect(parsed.complete).to.equal(1);
	});

	it('expects no body in a response to HEAD', () => {
		const parsed = parse(['HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n'], 'HEAD');
		expect(parsed.complete).to.equal(1);
	});

	it('completes a response without a length only when its connection is closed', () => {
		expect(parse(['HTTP/1.1 200 OK\r\n\r\nbody']).complete).to.equal(0);
		expect(parse(['HTTP/1.1 200 OK\r\n\r\nbody'], 'GET', true).complete).to.equal(1);
		expect(parse(['HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nbody'], 'GET', true).complete).to.equal(0);
	});

	// Guards against an exception of the runtime when headers with such bytes are forwarded to a caller.
	it('accepts a head with one wrong byte only if the runtime can write all of its headers', () => {
		const head = Buffer.from('HTTP/1.1 200 OK\r\nServer-Stamp: 1.2-3\r\nContent-Length: 0\r\n\r\n');
		const wrongByte = { position: fc.nat(head.length - 1), byte: fc.nat(255) };
		fc.assert(
			fc.property(fc.record(wrongByte), ({ position, byte }) => {
				const spoiled = Buffer.from(head);
				spoiled[position] = byte;
				for (const { rawHeaders } of tryParse(spoiled.toString('latin1'))) {
					for (let index = 0; index < rawHeaders.length; index += 2) {
						validateHeaderName(rawHeaders[index] ?? '');
						validateHeaderValue('any', rawHeaders[index + 1] ?? '');
					}
				}
			}),
			{ numRuns: 2000 },
		);
	});

	for (const [name, text] of [
		['a status line of another protocol', 'SSH-2.0-x\r\n\r\n'],
		[
			'a length and chunked encoding at once',
			'HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n',
		],
		['two lengths', 'HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n'],
		['a header without a name', 'HTTP/1.1 200 OK\r\n: x\r\n\r\n'],
		['a malformed chunk size', 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n'],
		[
			'a chunk that is longer than its size',
			'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n',
		],
	] as const) {
		it(`rejects ${name}`, () => {
			expect(() => parse([text])).to.throw(ResponseFormatError);
		});
	}
});
