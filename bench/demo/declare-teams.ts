/** Writes the demo's declarations into the key-value service. */
import { createSystemClock } from '../../src/core/clock/index.ts'
import { teamsPrefix } from '../../src/core/configuration/index.ts'
import { createId } from '../../src/core/ids/index.ts'
import type { WriteId } from '../../src/core/ids/index.ts'
import { createHttpKeyValue } from '../../src/core/platform/key-value/index.ts'
import { teams } from './declarations.ts'
import type { DemoPlatform } from './platform.ts'

const callTimeoutMs = 5_000

/** Declares all teams in one transaction. */
export async function declareTeams (platform: DemoPlatform): Promise<void> {
  const clock = createSystemClock()
  const store = createHttpKeyValue({ endpoints: [platform.keyValue.url], clock })
  const puts = teams.map(({ declaration }) => ({
    key: `${teamsPrefix}${declaration.team}`,
    value: JSON.stringify({
      writeId: createId<WriteId>('write'),
      by: 'demo',
      atMs: clock.wallMs(),
      content: { template: declaration.template, parameters: {}, declaration }
    })
  }))
  const result = await store.transact({ compares: [], puts, deletes: [] }, { deadlineAtMs: clock.wallMs() + callTimeoutMs })
  await store.close()
  if (result.isErr) throw result.error
}
