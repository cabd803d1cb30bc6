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
  it('finds one text among settings with comments', () => {
    writeFileSync(
      file,
      '{\n  // Where callers come.\n  "at": "10.0.0.7:8080",\n}',
    );
    expect(readSetting(file, 'at')).toBe('10.0.0.7:8080');
  });

  it.each([
    ['another kind of value', '{"at": 5}'],
    ['no such key', '{}'],
    ['no object', '7'],
    ['no settings at all', ''],
    ['a file that breaks off', '{"at'],
  ])('leaves %s to the check of the whole file', (_what, text) => {
    writeFileSync(file, text);
    expect(readSetting(file, 'at')).toBeUndefined();
  });

  it('leaves a missing file to that check, too', () => {
    expect(readSetting(join(directory, 'none'), 'at')).toBeUndefined();
    expect(readSetting(undefined, 'at')).toBeUndefined();
  });
});
