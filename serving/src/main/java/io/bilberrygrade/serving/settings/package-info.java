/** Settings of an entry daemon as checked values. */
package io.bilberrygrade.serving.settings;
