/** Calls of the own interface that crash plain services. */
import test from 'ava'
import { createServer } from 'node:net'
import { createSystemClock } from '../../src/core/clock/index.ts'
import { toId } from '../../src/core/ids/index.ts'
import { createMetrics } from '../../src/core/metrics/index.ts'
import { createOwnPathQuarantine } from '../../src/core/node/own-path-quarantine.ts'
import { createQuarantine } from '../../src/core/quarantine/index.ts'
import type { AddressInfo } from 'node:net'
import type { Backend } from '../../src/core/backends/types.ts'
import type { AttemptRequest } from '../../src/core/calls/index.ts'
import type { BackendId, TeamId } from '../../src/core/ids/index.ts'

/** An address that refuses connections. */
async function findClosedUrl (): Promise<string> {
  const server = createServer()
  await new Promise<void>(resolve => server.listen({ host: '127.0.0.1', port: 0 }, resolve))
  const { port } = server.address() as AddressInfo
  await new Promise(resolve => server.close(resolve))
  return `http://127.0.0.1:${port}`
}

test('a call under which three plain services crashed is not sent again, whatever its key, and another one is', async t => {
  const clock = createSystemClock()
  const url = await findClosedUrl()
  const backends = ['s-1', 's-2', 's-3'].map(id => ({ id: toId<BackendId>(id), url, state: 'live' }) as Backend)
  const quarantine = createQuarantine({ clock, log: () => {}, metrics: createMetrics(), random: () => 0, nodeCount: () => 1, reportDelayMs: () => 50, isDeciding: () => true, claimTrial: async () => false })
  const gate = createOwnPathQuarantine({ clock, quarantine, liveBackends: () => backends })
  const call = (body: string): AttemptRequest => ({ team: toId<TeamId>('agency'), route: 'registrations', body: Buffer.from(body) }) as unknown as AttemptRequest
  for (const backend of backends) {
    await gate.detectCallCrash(call('bad'), backend)
    await clock.sleep(20)
  }
  await clock.sleep(150)
  const signal = new AbortController().signal
  t.like(await gate.admitCall(call('bad'), signal), { kind: 'refused', reason: 'request-quarantined' })
  t.is((await gate.admitCall(call('sound'), signal)).kind, 'admitted')
})
