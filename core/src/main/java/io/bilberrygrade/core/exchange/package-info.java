/** How daemons share what each has sent to the endpoints, at a cost that a fleet can bear. */
package io.bilberrygrade.core.exchange;
