/** The price list of the stand-in cloud. */
import { toId } from '../../core/ids/index.ts'
import { domainPriceFactors, onDemandPriceFactor, reclaimablePriceMilliEuroPerHour } from '../timings.ts'
import type { CloudOffer } from '../../core/platform/cloud/index.ts'

/** Lists an offer for each combination of failure domain, machine class and kind of purchase. */
export function listOffers (domains: string[]): CloudOffer[] {
  return domains.flatMap((domain, position) => {
    const factor = domainPriceFactors[position % domainPriceFactors.length] ?? 1
    return Object.entries(reclaimablePriceMilliEuroPerHour).flatMap(([machineClass, price]): CloudOffer[] => {
      const offer = { domain: toId<CloudOffer['domain']>(domain), machineClass }
      return [
        { ...offer, purchase: 'reclaimable', priceMilliEuroPerHour: Math.round(price * factor) },
        { ...offer, purchase: 'on-demand', priceMilliEuroPerHour: Math.round(price * factor * onDemandPriceFactor) }
      ]
    })
  })
}
