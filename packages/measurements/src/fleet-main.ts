import {mkdir, writeFile} from 'node:fs/promises';
import {once} from 'node:events';

import type {EntryHost} from './entry-host.js';
import {Fleet, type RunningEndpoint} from './fleet.js';
import {SMALL_FLEET} from './fleet-plan.js';

const DIRECTORY = 'dev-fleet';
const PLATFORM_TIMEOUT_MILLISECONDS = 2_000;

function commandLineSettings(fleet: Fleet): string {
  const url = `http://${fleet.platformAddress}`;
  const settings = {
    platform: {
      logUrl: url,
      hostListUrl: url,
      timeoutMilliseconds: PLATFORM_TIMEOUT_MILLISECONDS,
    },
    ledgerStreams: fleet.plan.ledgerStreams,
    operator: 'developer',
  };
  const comment = '// Settings of the command line for this development fleet.';
  return `${comment}\n${JSON.stringify(settings, undefined, 2)}\n`;
}

function describeEndpoint({name, dataCenter, process}: RunningEndpoint) {
  return {name, dataCenter, address: process.address('address')};
}

function describeHost({name, dataCenter, callerAddress, listed}: EntryHost) {
  const {keeperAddress, routerControlAddress} = listed;
  return {name, dataCenter, callerAddress, keeperAddress, routerControlAddress};
}

/**
 * Starts a development fleet on loopback: the stand-ins and two entry hosts in each of
 * two data centres, without a configuration. It runs until SIGINT or SIGTERM.
 */
async function main(): Promise<void> {
  const fleet = await Fleet.start(SMALL_FLEET);
  const listing = {
    hosts: fleet.hosts.map(host => host.listed),
    endpoints: [],
  };
  await fleet.platformControl.send('PUT', '/control/listing', listing);
  const addresses = {
    engines: fleet.engines.map(describeEndpoint),
    plainServices: fleet.plainServices.map(describeEndpoint),
    hosts: fleet.hosts.map(describeHost),
  };
  await mkdir(DIRECTORY, {recursive: true});
  await writeFile(
    `${DIRECTORY}/wisteriadeal.jsonc`,
    commandLineSettings(fleet),
  );
  const text = JSON.stringify(addresses, undefined, 2);
  await writeFile(`${DIRECTORY}/addresses.json`, `${text}\n`);
  process.stdout.write(
    `${text}\nThe fleet is running; ${DIRECTORY}/ contains these addresses and the settings of the command line.\nPress Ctrl+C to stop it.\n`,
  );
  await Promise.race([once(process, 'SIGINT'), once(process, 'SIGTERM')]);
  await fleet.close();
}

await main();
