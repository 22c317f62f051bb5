/** The choice of a backend server for drafts and calls when its permit is gone before it is taken. */
import test from 'ava'
import { chooseWithinLimits } from '../../src/core/node/limited-choice.ts'
import { createBackends, createRequest, setUp } from '../routing/fixtures.ts'

const claim = { rank: 0, isRetry: false }
const retryInMs = 700

function choose (isGone: (backend: string, count: number) => boolean) {
  const { clock, router } = setUp()
  const asked: string[] = []
  const limits = {
    hasPermit: () => true,
    recordSkipped: () => {},
    take: ({ id }: { id: string }) => {
      asked.push(id)
      return isGone(id, asked.length) ? undefined : { giveBack: () => {} }
    },
    stateOf: () => ({ perSecond: 1, forMs: 0, ownPerSecond: 1, nextPermitInMs: retryInMs }),
    onRefused: () => retryInMs
  }
  return { asked, clock, chosen: chooseWithinLimits({ clock, router, limits }, createRequest('r-1', clock.wallMs()), createBackends(3), claim) }
}

test('a request whose chosen backend server has no permit left goes to another one', t => {
  const { asked, chosen } = choose((_id, count) => count === 1)
  t.deepEqual(chosen.map(({ choice }) => choice.backend.id as string).unwrapOr('none'), asked[1] ?? 'a second one')
  t.not(asked[0], asked[1])
})

test('a request for which no permit is left is refused with the time of the next one', t => {
  const { asked, clock, chosen } = choose(() => true)
  t.deepEqual(asked.toSorted(), ['b-0', 'b-1', 'b-2'])
  t.like(chosen.isErr ? chosen.error : {}, { reason: 'backends-limited', run: 'not-run', retryAtMs: clock.wallMs() + retryInMs })
})
