import {execFileSync} from 'node:child_process';
import {closeSync, openSync} from 'node:fs';
import {expect, it} from 'vitest';

import {descriptorLimit, openDescriptors} from '../descriptors.js';

it('tells how many descriptors the process may have, and has, open', () => {
  const shell = execFileSync('/bin/sh', ['-c', 'ulimit -Sn'], {
    encoding: 'latin1',
  });
  expect(String(descriptorLimit() ?? 'unlimited')).toBe(shell.trim());
  const before = openDescriptors() ?? NaN;
  const opened = openSync(process.execPath, 'r');
  expect(openDescriptors()).toBe(before + 1);
  closeSync(opened);
});
