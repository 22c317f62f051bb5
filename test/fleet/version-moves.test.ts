/** Plays version moves through the count orders: what the callers of a service have left of its backend servers. */
import test from 'ava'
import { moveCases } from '../../bench/measure/ordering/cases.ts'
import { playOrdering, sameRoles } from '../../bench/measure/ordering/play.ts'
import { countServers } from '../../src/core/fleet/index.ts'
import { toId } from '../../src/core/ids/index.ts'
import type { DomainId, VersionId } from '../../src/core/ids/index.ts'

for (const moveCase of moveCases) {
  test(`the servers of a new version are there when the move to it is done: ${moveCase.name}`, async t => {
    const [current, naive] = [await playOrdering(moveCase), await playOrdering(moveCase, undefined, sameRoles)]
    const { doneAtMs, newPerDomain } = moveCase.move!
    const capacityAt = ({ samples }: typeof current, atMs: number): number => samples.find(({ atSeconds }) => atSeconds * 1_000 >= atMs)?.capacity ?? 0
    const started = newPerDomain * moveCase.domainPrices.length
    t.true(capacityAt(current, doneAtMs + 500) >= started, `${capacityAt(current, doneAtMs + 500)} of ${started}`)
    t.true(capacityAt(naive, doneAtMs + 500) < started / 2, `naive: ${capacityAt(naive, doneAtMs + 500)} of ${started}`)
    t.true(current.longestShortageSeconds <= moveCase.bootMs / 1_000 + 0.5, `${current.longestShortageSeconds} s`)
  })

  test(`no server of the old version is given up for one that is only evaluated: ${moveCase.name}`, async t => {
    const { samples } = await playOrdering(moveCase)
    const { atMs, doneAtMs } = moveCase.move!
    t.true(samples.filter(({ atSeconds }) => atSeconds * 1_000 >= atMs && atSeconds * 1_000 < doneAtMs).every(({ busy, capacity }) => capacity >= busy))
  })
}

test('servers are counted by the role of their version, and leaving ones not at all', t => {
  const domain = toId<DomainId>('a')
  const server = (version: string, isLeaving = false) => ({ domain, version: toId<VersionId>(version), isReclaimable: false, isLeaving })
  const servers = [server('v1'), server('v1', true), server('v2'), server('v2'), server('v0')]
  const roles = { v0: 'replaced', v1: 'serving', v2: 'evaluated' } as const
  t.deepEqual(countServers(servers, version => roles[version as unknown as keyof typeof roles]), {
    serving: [{ domain, purchase: 'on-demand', count: 1 }],
    evaluated: [{ domain, purchase: 'on-demand', count: 2 }]
  })
})
