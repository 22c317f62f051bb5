/** Which attempts of a crash a node keeps, when it knows of more than it has room for. */
import test from 'ava'
import { createManualClock } from '../../src/core/clock/index.ts'
import { toId } from '../../src/core/ids/index.ts'
import { createCrashEvidence } from '../../src/core/quarantine/evidence.ts'
import type { AttemptId, BackendId, RequestDigest } from '../../src/core/ids/index.ts'

test('of many requests that were repeated and in progress at a crash, the one that was in more crashes is kept', t => {
  const evidence = createCrashEvidence(createManualClock())
  function crash (server: number, name: string): void {
    evidence.add({
      attempt: toId<AttemptId>(`${server}/${name}`), service: 'ledger', backend: toId<BackendId>(`i-${server}`), backendStartedAtMs: 1, features: [toId<RequestDigest>(`request:${name}`)], hasStarted: true, inProgress: 60, crashedAtMs: server * 100
    }, false)
  }
  const neighbours = Array.from({ length: 60 }, (_, index) => `neighbour-${index}`)
  for (const server of [1, 2]) {
    crash(server, 'bad')
    for (const [index, name] of neighbours.entries()) if (index % 2 === server % 2) crash(server, name)
  }
  for (const name of neighbours) crash(3, name)
  crash(3, 'bad')
  t.deepEqual(evidence.attempts().filter(({ features }) => features[0] === 'request:bad').map(({ backend }) => backend as string), ['i-1', 'i-2', 'i-3'])
})
