import console from 'node:console';
import {readFileSync} from 'node:fs';
import process from 'node:process';

/**
 * Judges a test run that has failed: it passes only if every failed test stands at
 * the beginning of a line of KNOWN-RED.txt, and nothing else went wrong.
 *
 * Usage: node judge-tests.js RESULTS.json OUTPUT.txt
 */
const [, , resultsPath, outputPath] = process.argv;
const results = JSON.parse(readFileSync(resultsPath, 'utf8'));
const known = readFileSync('KNOWN-RED.txt', 'utf8').split('\n');

const failed = results.testResults.flatMap(({assertionResults}) =>
  assertionResults.filter(({status}) => status === 'failed'),
);
const brokenFiles = results.testResults.filter(
  ({status, assertionResults}) =>
    status === 'failed' &&
    !assertionResults.some(result => result.status === 'failed'),
);
const unknown = failed.filter(
  ({fullName}) => !known.some(line => line.startsWith(`${fullName}: `)),
);
const hasEscaped = /Unhandled (Error|Rejection)/.test(
  readFileSync(outputPath, 'utf8'),
);

for (const {fullName} of failed) {
  console.log(`failed: ${fullName}`);
}
const passes =
  failed.length > 0 &&
  unknown.length === 0 &&
  brokenFiles.length === 0 &&
  !hasEscaped;
console.log(
  passes ? 'all of these are known to be red' : 'not all of these are known',
);
process.exit(passes ? 0 : 1);
