/** The gateway's gate to the quarantine, without a network. */
import test from 'ava'
import { createSystemClock } from '../../src/core/clock/index.ts'
import { createQuarantineGate } from '../../src/core/gateway/quarantine-gate.ts'
import type { ActiveRequest, RequestHandlerOptions } from '../../src/core/gateway/active-request.ts'

test('a request that is refused after it was admitted, for want of a backend server, is not kept', async t => {
  let onQuarantined = (): void => {}
  let findCount = 0
  const gate = createQuarantineGate({
    clock: createSystemClock(),
    backends: {},
    quarantine: {
      admit: async () => ({ kind: 'admitted', release: () => {} }),
      find: () => { findCount += 1 },
      onQuarantined: (listener: () => void) => { onQuarantined = listener }
    }
  } as unknown as RequestHandlerOptions)
  const active = { service: 'models', head: { sharedParts: ['system'] }, digest: () => 'request:1', hasCrashedBackend: false, ended: new AbortController(), attempt: undefined }
  const admittance = await gate.admit(active as unknown as ActiveRequest)
  onQuarantined()
  t.is(findCount, 1)
  if (admittance.kind === 'admitted') admittance.release()
  onQuarantined()
  t.is(findCount, 1)
})
