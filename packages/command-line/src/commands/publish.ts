import {Args, Flags} from '@oclif/core';
import {
  configurationDifference,
  formatChange,
  publishConfiguration,
  PublicationOutcome,
  readConfiguration,
  type PublicationResult,
} from '@wisteriadeal/operator';
import {ExitCode} from '@wisteriadeal/runtime';
import {randomUUID} from 'node:crypto';

import {CommandError} from '../command-error.js';
import {loadConfiguration} from '../configuration-file.js';
import {OperatorCommand, settingsFlag} from '../operator-command.js';

function refusalError(result: PublicationResult, file: string): CommandError {
  if (result.outcome === PublicationOutcome.Overtaken) {
    const otherOperator = result.operatorInForce || 'another operator';
    return new CommandError(
      ExitCode.Overtaken,
      `Not published: ${result.reason}. ${otherOperator} published version ${result.version} first; nothing of yours is in force.`,
      `Merge that change into your configuration, then run "wisteriadeal publish ${file}" to see the difference again.`,
    );
  }
  return new CommandError(
    ExitCode.InvalidInput,
    `Not published: ${result.reason}`,
    `Run "wisteriadeal check ${file}".`,
  );
}

export class Publish extends OperatorCommand {
  static override summary = 'Show what a configuration changes and publish it';
  static override description =
    'Prints the difference from the version in force. With --yes, publishes the configuration based on exactly that version and reads the verdict back from the log.';
  static override examples = [
    '<%= config.bin %> publish fleet.json',
    '<%= config.bin %> publish fleet.json --yes',
    '<%= config.bin %> publish fleet.json --yes --base 41 --id 7c1f0b1e',
  ];
  static override args = {
    file: Args.string({description: 'the configuration file', required: true}),
  };
  static override flags = {
    settings: settingsFlag,
    yes: Flags.boolean({description: 'publish, after showing the difference'}),
    base: Flags.integer({
      description: 'publish only if this version is in force',
      min: 0,
    }),
    id: Flags.string({
      description: 'identifier of the publication; makes a repeat safe',
    }),
  };

  override async run() {
    const {args, flags} = await this.parse(Publish);
    const configuration = loadConfiguration(args.file);
    const publicationId = flags.id ?? randomUUID();
    return this.withConnections(flags.settings, async connections => {
      const {log, clock, settings} = connections;
      const inForce = await this.withProgress(
        'Reading the version in force',
        readConfiguration(log),
      );
      const baseVersion = flags.base ?? inForce.version;
      const changes = configurationDifference(
        inForce.configuration,
        configuration,
      );
      this.log(`In force: version ${inForce.version}. This publication:`);
      this.log(changes.map(formatChange).join('\n') || '(changes nothing)');
      if (!flags.yes) {
        this.log(
          `Nothing was published. Next: wisteriadeal publish ${args.file} --yes --base ${inForce.version}`,
        );
        return {published: false, version: inForce.version, changes};
      }
      this.retryHint = `Run the same command with --id ${publicationId} --base ${baseVersion}: it is published once, and the verdict is printed.`;
      const result = await this.withProgress(
        `Publishing over version ${baseVersion} as ${publicationId}`,
        publishConfiguration(log, clock, {
          configuration,
          publicationId,
          baseVersion,
          operator: settings.operator,
          ledgerStreams: settings.ledgerStreams,
        }),
      );
      if (result.outcome !== PublicationOutcome.Accepted) {
        throw refusalError(result, args.file);
      }
      this.log(
        `Version ${result.version} is accepted; processes apply it as they read it.`,
      );
      this.log(
        'Next: run "wisteriadeal fleet status" to see which processes apply it.',
      );
      return {published: true, ...result, changes};
    });
  }
}
