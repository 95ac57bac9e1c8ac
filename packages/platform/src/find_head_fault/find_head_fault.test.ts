/**
 * Tests which bytes are the head of a response, whatever a parser takes for one.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {findHeadFault} from './find_head_fault.js';

const STATUS_FAULT = 'the answer has a malformed status line';
const FIELD_FAULT = 'the answer has a malformed field line';

/** Bytes that no part of a head may hold; line ends are tried apart. */
const FORBIDDEN_BYTES = [0x00, 0x01, 0x08, 0x0b, 0x0c, 0x0e, 0x1b, 0x1f, 0x7f];

/** Bytes that a name may not hold, beside those that no part may. */
const FORBIDDEN_IN_NAMES = [...' \t"(),/;<=>?@[\\]{}é'];

function findFault(text: string): string | undefined {
  return findHeadFault(Buffer.from(text, 'latin1'));
}

function findFaultOfLine(line: string): string | undefined {
  return findFault(`HTTP/1.1 200 OK\r\nA: 1\r\n${line}\r\nB: 2\r\n\r\nbody`);
}

describe('findHeadFault', () => {
  describe('accepts', () => {
    for (const text of [
      'HTTP/1.1 200 OK\r\n\r\n',
      'HTTP/1.0 404 Not Found\r\n\r\n',
      'HTTP/1.1 599 \r\n\r\n',
      'HTTP/1.1 200\r\n\r\n',
      'HTTP/1.1 200 tr\xe8s\tbien\r\n\r\n',
      '\r\n\r\nHTTP/1.1 200 OK\r\n\r\n',
      'HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n\r\n',
      'HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n\r\nHTTP/1.1 200 OK\r\n\r\n',
    ]) {
      it(JSON.stringify(text), () => {
        assert.equal(findFault(text), undefined);
      });
    }

    it('what follows the head, whatever it is', () => {
      assert.equal(findFault('HTTP/1.1 200 OK\r\n\r\n\0\n:\r'), undefined);
    });

    for (const line of [
      'Empty:',
      'Blanks: \t ',
      'Tab: a\tb',
      'Text: tr\xe8s : bien',
      "!#$%&'*+-.^_`|~09azAZ: v",
    ]) {
      it(`the line ${JSON.stringify(line)}`, () => {
        assert.equal(findFaultOfLine(line), undefined);
      });
    }

    it('heads of many lines', () => {
      const lines = 'A: 1\r\n'.repeat(20_000);
      assert.equal(findFault(`HTTP/1.1 200 OK\r\n${lines}\r\n`), undefined);
    });
  });

  describe('refuses the status line', () => {
    for (const line of [
      '',
      'HTTP/1.1',
      'HTTP/1.1 OK',
      'HTTP/1.1 000 OK',
      'HTTP/1.1 099 OK',
      'HTTP/1.1 600 OK',
      'HTTP/1.1 999 OK',
      'HTTP/1.1 20 OK',
      'HTTP/1.1 2000 OK',
      'HTTP/1.1 -20 OK',
      'HTTP/1.1  200 OK',
      'HTTP/1.1\t200 OK',
      'HTTP/1.1 2\x000 OK',
      'HTTP/1.1 200\tOK',
      'HTTP/1.1 200 O\nK',
      'HTTP/1.1 200 O\rK',
      'HTTP/1.2 200 OK',
      'HTTP/2.0 200 OK',
      'HTTP/11 200 OK',
      'http/1.1 200 OK',
      'ICY 200 OK',
      ' HTTP/1.1 200 OK',
      '\nHTTP/1.1 200 OK',
      '\0HTTP/1.1 200 OK',
    ]) {
      it(JSON.stringify(line), () => {
        assert.equal(findFault(`${line}\r\nA: 1\r\n\r\n`), STATUS_FAULT);
      });
    }

    it('of a head after an informational one', () => {
      const text = 'HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 OK\r\n\r\n';
      assert.equal(findFault(text), STATUS_FAULT);
    });

    for (const byte of FORBIDDEN_BYTES) {
      it(`with the byte ${byte} in its reason`, () => {
        const reason = `O${String.fromCharCode(byte)}K`;
        assert.equal(findFault(`HTTP/1.1 200 ${reason}\r\n\r\n`), STATUS_FAULT);
      });
    }
  });

  describe('refuses a line', () => {
    for (const line of [
      'no colon',
      ': no name',
      ' Before: 1',
      '\tBefore: 1',
      'After : 1',
      'After\t: 1',
      'Line\nFeed: 1',
      'Carriage\rReturn: 1',
      'Value: line\nfeed',
      'Value: carriage\rreturn',
      'Value: last\r',
      '\n',
      '\rC: 1',
    ]) {
      it(JSON.stringify(line), () => {
        assert.equal(findFaultOfLine(line), FIELD_FAULT);
      });
    }

    for (const byte of FORBIDDEN_BYTES) {
      const text = String.fromCharCode(byte);
      it(`with the byte ${byte}`, () => {
        for (const line of [
          `${text}Name: 1`,
          `Na${text}me: 1`,
          `Name${text}: 1`,
          `Name: ${text}1`,
          `Name: 1${text}`,
        ]) {
          assert.equal(findFaultOfLine(line), FIELD_FAULT, line);
        }
      });
    }

    for (const text of FORBIDDEN_IN_NAMES) {
      it(`with ${JSON.stringify(text)} in its name`, () => {
        assert.equal(findFaultOfLine(`Na${text}me: 1`), FIELD_FAULT);
      });
    }

    it('that has not ended', () => {
      assert.equal(findFault('HTTP/1.1 200 OK\r\nA: 1'), FIELD_FAULT);
      assert.equal(findFault('HTTP/1.1 200 OK\r\nA: 1\r\n'), FIELD_FAULT);
      assert.equal(findFault('HTTP/1.1 200 OK\nA: 1\n\n'), STATUS_FAULT);
    });

    it('of an informational head', () => {
      const text =
        'HTTP/1.1 103 Early Hints\r\nLi nk: a\r\n\r\nHTTP/1.1 200 OK\r\n\r\n';
      assert.equal(findFault(text), FIELD_FAULT);
    });
  });
});
