/** Guards against refusals by a node that has just started and reads its configuration a moment later, as after a kill of all nodes. */
import { setTimeout as sleep } from 'node:timers/promises'
import test from 'ava'
import { createSystemClock } from '../../src/core/clock/index.ts'
import { createConfigurationWait } from '../../src/core/gateway/index.ts'
import { respondOk, startGateway } from './deployment.ts'
import type { ExecutionContext } from 'ava'

const clock = createSystemClock()

/** A gateway without a configuration, which callers wait for during `waitMs`. */
async function startUnconfigured (t: ExecutionContext, waitMs: number) {
  const configurationWait = createConfigurationWait({ clock, untilMs: clock.monotonicMs() + waitMs })
  const gateway = await startGateway(t, [respondOk], {}, { whenConfigured: configurationWait.wait })
  const { table } = gateway.state
  gateway.state.table = undefined
  const configure = (): void => {
    gateway.state.table = table
    configurationWait.end()
  }
  return { ...gateway, configure }
}

test('a request that arrives before the first configuration is served once there is one', async t => {
  const { call, configure } = await startUnconfigured(t, 60_000)
  const pending = call('/register/', 'r-1', { body: 'upload' })
  await sleep(50)
  configure()
  t.like(await pending, { status: 200, body: 'whole' })
})

test('without a configuration, requests are refused when the wait ends, and at once afterwards', async t => {
  const { call, servers } = await startUnconfigured(t, 200)
  for (const id of ['r-1', 'r-2']) {
    const { status, headers } = await call('/register/', id)
    t.is(status, 503)
    t.true(Number(headers.get('retry-after')) > 0)
  }
  t.is(servers[0]!.requests.length, 0)
})

test('a caller that leaves while it waits is not served later', async t => {
  const { call, configure, servers } = await startUnconfigured(t, 60_000)
  t.true(await call('/register/', 'r-1', { signal: AbortSignal.timeout(100) }).then(() => false, () => true))
  await sleep(50)
  configure()
  t.is((await call('/register/', 'r-2')).status, 200)
  t.deepEqual(servers[0]!.requests.map(({ headers }) => headers['x-request']), ['r-2'])
})

test('a limited number of requests waits; the others are refused at once', async t => {
  const wait = createConfigurationWait({ clock, untilMs: Infinity })
  const ended = new AbortController()
  let resolvedCount = 0
  const all = Array.from({ length: 70 }, async () => {
    await wait.wait(ended.signal)
    resolvedCount += 1
  })
  await sleep(10)
  t.is(resolvedCount, 6)
  wait.end()
  await Promise.all(all)
})
