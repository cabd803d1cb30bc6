import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {Err, Ok, type Result} from '../results.js';
import type {SettingsProblem} from '../settings-file.js';
import {SettingsWatch} from '../settings-watch.js';

let folder: string;
let file: string;
let taken: string[];
let problems: number;
let loaded: Result<string, readonly SettingsProblem[]>;

const taker = {
  reload: (settings: string) => {
    taken.push(settings);
  },
  reject: () => {
    problems++;
  },
};

beforeEach(() => {
  folder = mkdtempSync(join(tmpdir(), 'settings-watch-'));
  file = join(folder, 'settings.jsonc');
  writeFileSync(file, '{}');
  taken = [];
  problems = 0;
  loaded = Ok('first');
});

afterEach(() => {
  rmSync(folder, {recursive: true});
});

describe('SettingsWatch', () => {
  it('takes a signal that comes while the process starts', () => {
    // Callers see a host end and come back. It was told that its settings had
    // changed before it had a handler for that, and the signal ended it.
    const watch = new SettingsWatch(file, () => loaded);
    watch.signalled();
    expect(taken).toEqual([]);
    watch.begin(taker);
    expect(taken).toEqual(['first']);
  });

  it('notices a change that nobody tells it of, once', () => {
    const watch = new SettingsWatch(file, () => loaded);
    watch.begin(taker);
    watch.poll();
    expect(taken).toEqual([]);
    writeFileSync(file, '{"changed": true}');
    watch.poll();
    watch.poll();
    expect(taken).toEqual(['first']);
  });

  it('leaves the settings in force where the new ones do not fit', () => {
    const watch = new SettingsWatch(file, () => loaded);
    watch.begin(taker);
    loaded = Err([]);
    watch.signalled();
    expect(taken).toEqual([]);
    expect(problems).toBe(1);
  });

  it('waits while the file is replaced', () => {
    const watch = new SettingsWatch(file, () => loaded);
    watch.begin(taker);
    rmSync(file);
    watch.poll();
    expect(taken).toEqual([]);
    writeFileSync(file, '{"changed": true}');
    watch.poll();
    expect(taken).toEqual(['first']);
  });
});
