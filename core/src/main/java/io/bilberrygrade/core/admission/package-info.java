/** Decides which requests are taken on, and when a refused one may come back. */
package io.bilberrygrade.core.admission;
