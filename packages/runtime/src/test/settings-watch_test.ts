import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {Err, Ok, type Result} from '../results.js';
import type {SettingsProblem} from '../settings-file.js';
import {SettingsWatch} from '../settings-watch.js';

let folder: string;
let file: string;
let reloaded: string[];
let problems: number;
let loaded: Result<string, readonly SettingsProblem[]>;

const listener = {
  reload: (settings: string) => {
    reloaded.push(settings);
  },
  reject: () => {
    problems++;
  },
};

beforeEach(() => {
  folder = mkdtempSync(join(tmpdir(), 'settings-watch-'));
  file = join(folder, 'settings.jsonc');
  writeFileSync(file, '{}');
  reloaded = [];
  problems = 0;
  loaded = Ok('first');
});

afterEach(() => {
  rmSync(folder, {recursive: true});
});

describe('SettingsWatch', () => {
  it('keeps a signal that arrives while the process starts', () => {
    // Guards against a SIGHUP before the handler is registered, which would end the
    // process: callers saw a host stop and restart.
    const watch = new SettingsWatch(file, () => loaded);
    watch.handleChange();
    expect(reloaded).toEqual([]);
    watch.start(listener);
    expect(reloaded).toEqual(['first']);
  });

  it('reloads once after a change without a signal', () => {
    const watch = new SettingsWatch(file, () => loaded);
    watch.start(listener);
    watch.poll();
    expect(reloaded).toEqual([]);
    writeFileSync(file, '{"changed": true}');
    watch.poll();
    watch.poll();
    expect(reloaded).toEqual(['first']);
  });

  it('keeps the current settings if the new ones are not valid', () => {
    const watch = new SettingsWatch(file, () => loaded);
    watch.start(listener);
    loaded = Err([]);
    watch.handleChange();
    expect(reloaded).toEqual([]);
    expect(problems).toBe(1);
  });

  it('does not reload while the file is missing during its replacement', () => {
    const watch = new SettingsWatch(file, () => loaded);
    watch.start(listener);
    rmSync(file);
    watch.poll();
    expect(reloaded).toEqual([]);
    writeFileSync(file, '{"changed": true}');
    watch.poll();
    expect(reloaded).toEqual(['first']);
  });
});
