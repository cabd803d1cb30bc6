import {create, toBinary} from '@bufbuild/protobuf';
import {
  ConfigurationRecordSchema,
  type Configuration,
} from '@wisteriadeal/schema';
import {randomUUID} from 'node:crypto';

import type {Fleet} from './fleet.js';

/** Publishes a configuration over a version. */
export async function publish(
  fleet: Fleet,
  configuration: Configuration,
  baseVersion: number,
): Promise<void> {
  const record = create(ConfigurationRecordSchema, {
    kind: {
      case: 'publication',
      value: {
        publicationId: randomUUID(),
        baseVersion,
        operator: 'runner',
        configuration,
      },
    },
  });
  const payload = toBinary(ConfigurationRecordSchema, record);
  await fleet.log.append('configuration', payload);
}
