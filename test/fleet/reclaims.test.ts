/**
 * Plays loads through the count orders while the cloud takes back the reclaimable
 * backend servers of one domain after the other and has no replacements.
 */
import test from 'ava'
import { orderingCases, planOnDemand, planReclaimable } from '../../bench/measure/ordering/cases.ts'
import { playOrdering } from '../../bench/measure/ordering/play.ts'

const bootSeconds = 4
const casesOf = (day: string) => orderingCases.filter(({ name }) => name.endsWith(`: ${day}`))

test('a load on reclaimable servers costs less than one on on-demand servers: three quarters with three domains, two thirds with five', async t => {
  for (const ordering of orderingCases) {
    const [current, onDemand] = [await playOrdering(ordering), await playOrdering(ordering, planOnDemand)]
    const most = ordering.domainPrices.length === 3 ? 3 / 4 : 2 / 3
    t.true(current.priceRatio < onDemand.priceRatio * most, `${ordering.name}: ${current.priceRatio.toFixed(2)} of ${onDemand.priceRatio.toFixed(2)}`)
  }
})

for (const day of ['no reclaim', 'one reclaim', 'two reclaims 6 s apart', 'three reclaims, two of them 1.2 s apart']) {
  test(`all load has a server: ${day}`, async t => {
    for (const ordering of casesOf(day)) t.is((await playOrdering(ordering)).shortageRatio, 0, ordering.name)
  })
}

test('without on-demand servers that take over, the same reclaims leave load without a server for longer', async t => {
  for (const ordering of casesOf('three reclaims, two of them 1.2 s apart')) {
    const { longestShortageSeconds } = await playOrdering(ordering, planReclaimable)
    t.true(longestShortageSeconds > bootSeconds, `${ordering.name}: ${longestShortageSeconds} s`)
  }
})
