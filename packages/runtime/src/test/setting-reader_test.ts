import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {readSetting} from '../setting-reader.js';

let directory: string;
let file: string;

beforeEach(() => {
  directory = mkdtempSync(join(tmpdir(), 'setting-'));
  file = join(directory, 'settings.jsonc');
});

afterEach(() => {
  rmSync(directory, {recursive: true});
});

describe('readSetting', () => {
  it('reads one string from settings with comments', () => {
    writeFileSync(
      file,
      '{\n  // Address for callers.\n  "at": "10.0.0.7:8080",\n}',
    );
    expect(readSetting(file, 'at')).toBe('10.0.0.7:8080');
  });

  it.each([
    ['a value of another type', '{"at": 5}'],
    ['a missing key', '{}'],
    ['a value that is no object', '7'],
    ['an empty file', ''],
    ['a truncated file', '{"at'],
  ])('returns undefined for %s', (_what, text) => {
    writeFileSync(file, text);
    expect(readSetting(file, 'at')).toBeUndefined();
  });

  it('returns undefined for a missing file or path', () => {
    expect(readSetting(join(directory, 'none'), 'at')).toBeUndefined();
    expect(readSetting(undefined, 'at')).toBeUndefined();
  });
});
